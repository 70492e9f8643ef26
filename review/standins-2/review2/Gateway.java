package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the run line of the deploy file. */
final class Gateway implements AutoCloseable {
    private static final int PORTS = 4;

    final String name;
    final int callerPort;
    private final int readinessPort;
    private final Path directory;
    private final Path settings;
    private final Record record;
    private Process process;
    private int starts;
    private boolean closed;

    Gateway(String name, String zone, Path directory, String storeAddress, Record record)
            throws IOException {
        this.name = name;
        this.directory = directory;
        this.record = record;
        int[] ports = freePorts();
        callerPort = ports[0];
        readinessPort = ports[1];
        settings = directory.resolve(name + ".json");
        Files.writeString(
                settings,
                "{\"instance\": \"%s\", \"failureDomain\": \"%s\","
                                .formatted(name, zone)
                        + " \"callerAddress\": \"127.0.0.1:%d\", \"readinessAddress\": \"127.0.0.1:%d\","
                                .formatted(ports[0], ports[1])
                        + " \"peerAddress\": \"127.0.0.1:%d\", \"adminAddress\": \"127.0.0.1:%d\","
                                .formatted(ports[2], ports[3])
                        + " \"orderTurnMillis\": 3000, \"loadWindowSeconds\": 5, \"drainSeconds\": 8,"
                        + " \"retryWindowSeconds\": 10, \"retryRatio\": 0.2, \"retryAllowance\": 56,"
                        + " \"silenceLimitMillis\": 3000, \"newsLimitMillis\": 2000,"
                        + " \"reportIntervalMillis\": 1200, \"processorShare\": 0.75, \"processors\": 1,"
                        + " \"descriptors\": 4100, \"storeAddress\": \"%s\"}".formatted(storeAddress));
    }

    private static int[] freePorts() throws IOException {
        int[] ports = new int[PORTS];
        for (int index = 0; index < PORTS; index++) {
            ports[index] = HttpNode.freePort();
        }
        return ports;
    }

    /** Starts the process with the words of the run line, as the platform does. */
    synchronized void start() throws IOException {
        if (closed) {
            return;
        }
        String line =
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                        .filter(each -> each.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        starts++;
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("TARRAGONLUG_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(directory.resolve(name + "-" + starts + ".log").toFile());
        process = builder.start();
        record.line("gateway %s start %d pid %d", name, starts, process.pid());
    }

    boolean isReady() {
        return get("/tarragonlug/ready", readinessPort) == 200;
    }

    private static int get(String path, int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(
                            ("GET " + path + " HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            String status = HttpNode.line(socket.getInputStream());
            return status == null ? 0 : Integer.parseInt(status.split(" ")[1]);
        } catch (IOException | RuntimeException unreachable) {
            return 0;
        }
    }

    void awaitReady(long timeoutMillis) throws InterruptedException {
        long end = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("gateway " + name + " is not ready");
            }
            Thread.sleep(50);
        }
        record.line("gateway %s is ready", name);
    }

    /** Returns the last line that the running process has logged with a word; empty if none. */
    String lastLogged(String word) throws IOException {
        String last = "";
        for (String line : Files.readAllLines(directory.resolve(name + "-" + starts + ".log"))) {
            last = line.contains(word) ? line : last;
        }
        return last;
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** Sends SIGTERM, and SIGKILL after the grace time, and waits for the end. */
    void terminate(long graceMillis) throws InterruptedException {
        record.line("gateway %s gets SIGTERM", name);
        process.destroy();
        if (!process.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
            process.destroyForcibly().waitFor();
        }
        record.line("gateway %s has ended with %d", name, process.exitValue());
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        record.line("gateway %s gets SIGKILL", name);
        process.destroyForcibly().waitFor();
    }

    /** Sends a signal by name. */
    void signal(String signal) throws IOException, InterruptedException {
        record.line("gateway %s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public synchronized void close() {
        closed = true;
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
