package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the program, started with the run line of the deploy file. */
final class Gateway implements AutoCloseable {
    final String name;
    final int callerPort;
    final int readyPort;
    final int adminPort;
    final Path log;
    private final Path settings;
    private final Path repository;
    private Process process;

    Gateway(Path repository, Path folder, String name, String zone, String storeAddress)
            throws IOException {
        this.repository = repository;
        this.name = name;
        int[] ports = freePorts(4);
        callerPort = ports[0];
        readyPort = ports[1];
        adminPort = ports[3];
        log = folder.resolve(name + ".log");
        settings = folder.resolve(name + ".json");
        Files.writeString(
                settings,
                Json.write(
                        Json.of(
                                "instance", name,
                                "failureDomain", zone,
                                "callerAddress", "127.0.0.1:" + ports[0],
                                "readinessAddress", "127.0.0.1:" + ports[1],
                                "peerAddress", "127.0.0.1:" + ports[2],
                                "adminAddress", "127.0.0.1:" + ports[3],
                                "orderTurnMillis", 3000,
                                "loadWindowSeconds", 5,
                                "drainSeconds", 8,
                                "retryWindowSeconds", 10,
                                "retryRatio", 0.2,
                                "retryAllowance", 56,
                                "processorShare", 0.75,
                                "processors", 1,
                                "descriptors", 4100,
                                "storeAddress", storeAddress)));
    }

    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            ports[index] = socket.getLocalPort();
        }
        for (ServerSocket each : sockets) {
            each.close();
        }
        return ports;
    }

    /** Starts the process. It ends with this program at the latest. */
    void start() throws IOException {
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        int at = deploy.indexOf("run = \"") + "run = \"".length();
        String[] command = deploy.substring(at, deploy.indexOf('"', at)).split(" ");
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("TARRAGONLUG_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    boolean alive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Waits until the readiness address answers 200; returns whether it did in time. */
    boolean awaitReady(long seconds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            if (ready()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    boolean ready() {
        try (Client client = new Client(readyPort)) {
            client.send("GET", "/tarragonlug/ready", Map.of("host", "x"), new byte[0]);
            return client.readAnswer(2000).status() == 200;
        } catch (Exception notReady) {
            return false;
        }
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
