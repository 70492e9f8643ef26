package org.tarragonlug.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * A process that is halted by a signal, and the bytes that wait for it at its connections. The
 * kernel tells both, so a test needs no estimate of how long they take on a busy machine.
 */
final class HaltedProcess {
    private static final Path PROC = Path.of("/proc");
    private static final String ESTABLISHED = "01";
    private static final String STOPPED = "T";
    private static final int HEXADECIMAL = 16;

    private final long pid;

    private HaltedProcess(long pid) {
        this.pid = pid;
    }

    /** Halts a process and waits until none of its threads runs; the signal is sent before that. */
    static HaltedProcess halt(long pid) throws Exception {
        HaltedProcess halted = new HaltedProcess(pid);
        halted.signal("STOP");
        GatewayFixture.await("all threads are halted", halted::allThreadsAreStopped);
        return halted;
    }

    /** Lets the process go on. */
    void resume() throws Exception {
        signal("CONT");
    }

    /** Waits until bytes that were sent to a local port of the process wait to be read. */
    void awaitBytesAt(int localPort) throws Exception {
        awaitBytes(connection -> connection.localPort == localPort);
    }

    /** Waits until bytes that were sent from a port of another process wait to be read. */
    void awaitBytesFrom(int remotePort) throws Exception {
        awaitBytes(connection -> connection.remotePort == remotePort);
    }

    private void awaitBytes(Predicate<Connection> which) throws Exception {
        GatewayFixture.await(
                "bytes wait to be read",
                () -> connections().stream().filter(which).anyMatch(each -> each.unread > 0));
    }

    private void signal(String name) throws Exception {
        String command = "kill -" + name + " " + pid;
        int status = new ProcessBuilder("sh", "-c", command).start().waitFor();
        if (status != 0) {
            throw new IOException(command + " ended with status " + status);
        }
    }

    private boolean allThreadsAreStopped() throws IOException {
        try (Stream<Path> threads = Files.list(PROC.resolve(pid + "/task"))) {
            return threads.allMatch(thread -> state(thread).equals(STOPPED));
        }
    }

    /** Returns the state of a thread, which follows its name in parentheses. */
    private static String state(Path thread) {
        try {
            String status = Files.readString(thread.resolve("stat"));
            return status.substring(status.lastIndexOf(')') + 1).strip().substring(0, 1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** An open connection on this machine, seen from one of its ends. */
    private record Connection(int localPort, int remotePort, long unread) {
        static Connection parse(String[] fields) {
            return new Connection(port(fields[1]), port(fields[2]), number(fields[4]));
        }

        private static int port(String address) {
            return (int) number(address);
        }

        private static long number(String field) {
            return Long.parseLong(field.substring(field.indexOf(':') + 1), HEXADECIMAL);
        }
    }

    private static List<Connection> connections() throws IOException {
        try (Stream<String> lines =
                Stream.concat(
                        Files.readAllLines(PROC.resolve("net/tcp")).stream(),
                        Files.readAllLines(PROC.resolve("net/tcp6")).stream())) {
            return lines.map(line -> line.strip().split("\\s+"))
                    .filter(fields -> fields[3].equals(ESTABLISHED))
                    .map(Connection::parse)
                    .toList();
        }
    }
}
