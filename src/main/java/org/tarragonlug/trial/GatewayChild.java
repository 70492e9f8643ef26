package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tarragonlug.gateway.GatewaySettings;
import org.tarragonlug.platform.PlatformPaths;
import org.tarragonlug.runtime.Json;

/** A gateway in a process of its own, with the memory and options of the deploy file. */
public final class GatewayChild implements AutoCloseable {
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Duration READY_LIMIT = Duration.ofSeconds(20);
    private static final int POLL_MILLIS = 20;
    private static final int OK = 200;

    private final Path settingsFile;
    private final Path logFile;
    private final Process process;
    private final GatewaySettings settings;
    private final HttpClient client = HttpClient.newHttpClient();
    private final Thread endAtExit = new Thread(this::destroy, "end-gateway-child");

    /**
     * Starts the process.
     *
     * @param directory directory to run in
     * @param command program and arguments, as {@link #command} returns them
     * @param settings addresses, names, retries and drain time; all other settings have their
     *     defaults
     * @throws IOException if the process cannot be started
     */
    public GatewayChild(Path directory, List<String> command, GatewaySettings settings)
            throws IOException {
        this.settings = settings;
        settingsFile = Files.createTempFile("gateway", ".json");
        logFile = Files.createTempFile("gateway", ".log");
        Files.write(settingsFile, Json.bytes(toJson(settings)));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(directory.toFile());
        builder.environment().put("TARRAGONLUG_NODE_FILE", settingsFile.toString());
        builder.redirectOutput(logFile.toFile());
        builder.redirectErrorStream(true);
        process = builder.start();
        // Without this, the child would outlive a parent that is ended by a signal.
        try {
            Runtime.getRuntime().addShutdownHook(endAtExit);
        } catch (IllegalStateException parentEnds) {
            process.destroyForcibly();
            throw new IOException("this process ends", parentEnds);
        }
    }

    /**
     * Returns the command of the deploy file of a program.
     *
     * @param program a directory with {@code deploy/system.toml}
     * @throws IOException if the file cannot be read or has no such line
     */
    public static List<String> command(Path program) throws IOException {
        Matcher run = RUN_LINE.matcher(Files.readString(program.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException(program + "/deploy/system.toml has no line: run = \"...\"");
        }
        return Arrays.asList(run.group(1).split(" "));
    }

    private static ObjectNode toJson(GatewaySettings settings) {
        ObjectNode json = Json.object();
        json.put("instance", settings.instance().value());
        json.put("failureDomain", settings.failureDomain().value());
        json.put("callerAddress", text(settings.callerAddress()));
        json.put("readinessAddress", text(settings.readinessAddress()));
        json.put("peerAddress", text(settings.peerAddress()));
        json.put("adminAddress", text(settings.adminAddress()));
        json.put("storeAddress", text(settings.storeAddress()));
        json.put("drainSeconds", settings.drainTime().toSeconds());
        json.put("retryRatio", settings.retryRatio());
        json.put("firstStart", settings.firstStart());
        json.put("retryAllowance", settings.retryAllowance());
        return json;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Waits until the gateway says that it is ready.
     *
     * @throws IOException if it is not ready after some seconds
     */
    public void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + READY_LIMIT.toNanos();
        while (!isReady()) {
            if (System.nanoTime() > end) {
                throw new IOException("the process is not ready after " + READY_LIMIT + problems());
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private boolean isReady() throws InterruptedException {
        URI uri =
                URI.create("http://" + text(settings.readinessAddress()) + PlatformPaths.READINESS);
        HttpRequest request = HttpRequest.newBuilder(uri).GET().build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == OK;
        } catch (IOException notListening) {
            // The process has not bound its address yet.
            return false;
        }
    }

    /** Returns the lines of the process that tell of problems, each after a line end. */
    public String problems() throws IOException {
        return Files.readAllLines(logFile).stream()
                .filter(line -> !line.contains("level=INFO"))
                .map(line -> "\n" + line)
                .collect(Collectors.joining());
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the lines of the process that contain a text. */
    public List<String> linesWith(String text) throws IOException {
        try (Stream<String> lines = Files.lines(logFile)) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    /** Returns whether a line of the process contains a text. */
    public boolean hasLogged(String text) {
        try {
            return !linesWith(text).isEmpty();
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    /** Asks the process to end, by SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /** Ends the process at once, by SIGKILL. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Tells the process by SIGHUP that its settings may have changed. */
    public void hangUp() {
        signal("HUP");
    }

    /** Stops the process until {@link #resume}; returns whether it was running. */
    public boolean pause() {
        return signal("STOP");
    }

    /** Lets the process go on. */
    public void resume() {
        signal("CONT");
    }

    /** Sends a signal to the process if it runs, and returns whether it was sent. */
    private boolean signal(String name) {
        if (!process.isAlive()) {
            return false;
        }
        String number = Long.toString(process.pid());
        try {
            return new ProcessBuilder("kill", "-" + name, number)
                            .start()
                            .onExit()
                            .join()
                            .exitValue()
                    == 0;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns the id of the process. */
    public long pid() {
        return process.pid();
    }

    private void destroy() {
        process.destroyForcibly();
    }

    @Override
    public void close() throws IOException {
        Runtime.getRuntime().removeShutdownHook(endAtExit);
        process.destroyForcibly().onExit().join();
        Files.delete(settingsFile);
        Files.delete(logFile);
    }
}
