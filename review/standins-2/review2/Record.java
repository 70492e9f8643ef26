package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in milliseconds. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text, Object... arguments) {
        writer.println(
                String.format(Locale.ROOT, "%7d ", millis())
                        + String.format(Locale.ROOT, text, arguments));
        writer.flush();
    }

    /** Writes a line that also goes to the standard output. */
    void result(String text, Object... arguments) {
        line(text, arguments);
        System.out.println(String.format(Locale.ROOT, text, arguments));
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
