import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
final class Record implements AutoCloseable {
    private static final double NANOS_PER_SECOND = 1e9;

    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    /** Returns the seconds since the start. */
    double seconds() {
        return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }

    synchronized void write(String who, String what) {
        writer.println(String.format(Locale.ROOT, "%8.3f %s: %s", seconds(), who, what));
    }

    /** Writes a line that is printed as well. */
    void state(String what) {
        write("trial", what);
        System.out.println(what);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
