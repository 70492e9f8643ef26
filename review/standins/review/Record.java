package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter writer;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        writer.printf("%9.3f %s%n", (System.nanoTime() - start) / 1e9, text);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
