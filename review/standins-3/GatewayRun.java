import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tarragonlug.misc.JsonTree;

/** A machine with one gateway process, started with the run command of the deploy file. */
final class GatewayRun {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Set<String> PASSED_ON = Set.of("PATH", "HOME", "JAVA_HOME", "LANG");

    private static final int LOWEST_PORT = 20_000;
    private static final int HIGHEST_PORT = 32_000;
    private static final int MOST_TRIES = 100;

    private final String name;
    private final Path settingsFile;
    private final Path log;
    private final Record record;
    private final int callerPort = freePort();
    private final int readinessPort = freePort();
    private final int peerPort = freePort();
    private final int adminPort = freePort();
    private Process process;

    GatewayRun(String name, String zone, StoreStandIn store, Path folder, Record record)
            throws IOException {
        this.name = name;
        this.record = record;
        settingsFile = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        Files.write(settingsFile, JsonTree.bytes(settings(zone, store)));
    }

    /** Returns the settings as the template renders them for a small deployment. */
    private ObjectNode settings(String zone, StoreStandIn store) {
        ObjectNode settings = JsonTree.object();
        settings.put("instance", name);
        settings.put("failureDomain", zone);
        settings.put("callerAddress", "127.0.0.1:" + callerPort);
        settings.put("readinessAddress", "127.0.0.1:" + readinessPort);
        settings.put("peerAddress", "127.0.0.1:" + peerPort);
        settings.put("adminAddress", "127.0.0.1:" + adminPort);
        settings.put("orderTurnMillis", 3000);
        settings.put("loadWindowSeconds", 5);
        settings.put("drainSeconds", 8);
        settings.put("retryWindowSeconds", 10);
        settings.put("retryRatio", 0.2);
        settings.put("retryAllowance", 56);
        settings.put("silenceLimitMillis", 3000);
        settings.put("newsLimitMillis", 2000);
        settings.put("reportIntervalMillis", 1200);
        settings.put("processorShare", 0.75);
        settings.put("processors", 1);
        settings.put("descriptors", 4100);
        settings.put("storeAddress", store.address());
        return settings;
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private static int freePort() throws IOException {
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException inUse) {
                continue;
            }
        }
        throw new IOException("no free port");
    }

    String name() {
        return name;
    }

    int callerPort() {
        return callerPort;
    }

    synchronized void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run command");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(PASSED_ON);
        environment.put("TARRAGONLUG_NODE_FILE", settingsFile.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        process = builder.start();
        record.write(name, "started");
    }

    /** Waits until the gateway reports ready; returns whether it does. */
    boolean awaitReady(long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            if (Caller.get(readinessPort, "/tarragonlug/ready").status() == 200) {
                record.write(name, "ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Writes whether the process lives and reports ready, and the errors of its log. */
    void describe() throws IOException {
        int status = Caller.get(readinessPort, "/tarragonlug/ready").status();
        record.state(
                name
                        + (process.isAlive() ? ": the process lives" : ": the process has ended")
                        + ", its readiness check gives "
                        + (status == 0 ? "no answer" : Integer.toString(status)));
        for (String line : Files.readAllLines(log)) {
            if (line.contains("Error")) {
                record.state(name + " logs: " + line);
            }
        }
    }

    /** Ends the process at the end of a trial. */
    synchronized void destroy() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
