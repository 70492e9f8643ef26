package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.trial.GatewayChild;

/**
 * A gateway process that is told to stop while its configuration changes again and again and its
 * callers use their connections until the process is gone.
 *
 * <p>{@code -Dtarragonlug.stops} sets how many processes are stopped.
 */
class StopDuringChangesTest {
    private static final int STOPS = Integer.getInteger("tarragonlug.stops", 1);
    private static final int SERVERS = 3;
    private static final int CALLERS = 20;
    private static final int EVENTS = 8;
    private static final int LONGEST_STEP_MILLIS = 40;
    private static final int LONGEST_PAUSE_MILLIS = 40;
    private static final int LONGEST_BODY_BYTES = 40_000;
    private static final int SMALLEST_BODY_LIMIT_BYTES = 4_000;
    private static final double LAST_OF_CONNECTION_SHARE = 0.1;
    private static final int LONGEST_CHANGE_MILLIS = 150;
    private static final Duration BEFORE_STOP = Duration.ofMillis(1500);
    private static final Duration DRAIN_TIME = Duration.ofSeconds(8);

    /** In the log line of a request that lasted longer than its route allows. */
    private static final String TIME_OVER = "outcome=failed_time_over";

    /** More than the steps of any answer take together. */
    private static final int SHORT_TIMEOUT_MILLIS = 2500;

    private static final int OK = 200;
    private static final List<String> PATHS = List.of("/read/1", "/ask/1", "/score/1", "/issue/1");

    private final GatewayFixture fixture = new GatewayFixture();
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final List<GatewayChild> children = new ArrayList<>();
    private final Map<String, String> ends = new ConcurrentSkipListMap<>();
    private final Queue<String> wrongAnswers = new ConcurrentLinkedQueue<>();
    private final long seed = Long.getLong("tarragonlug.seed", 1);
    private volatile boolean stopping;
    private volatile boolean ended;
    private long version;

    @AfterEach
    void close() throws Exception {
        ended = true;
        fixture.close();
    }

    private void startServers() {
        for (int number = 0; number < SERVERS; number++) {
            Random random = new Random(seed + number);
            for (String service : List.of("records", "others")) {
                servers.add(
                        fixture.startScripted(
                                service + number,
                                service,
                                List.of(),
                                (request, count, on) -> plainAnswer(request.id(), random)));
            }
            servers.add(
                    fixture.startScripted(
                            "engine" + number,
                            "engines",
                            List.of("m1"),
                            (request, count, on) -> stream(request, random)));
        }
    }

    private static long step(Random random) {
        return random.nextInt(LONGEST_STEP_MILLIS);
    }

    private static ScriptedServer.Answer plainAnswer(String id, Random random) {
        String answer = ScriptedServer.success(id, "answer of " + id);
        return new ScriptedServer.Answer(
                "",
                ScriptedServer.End.KEEP,
                null,
                List.of(new ScriptedServer.Later(step(random), answer)));
    }

    private static ScriptedServer.Answer stream(ScriptedServer.Request request, Random random) {
        String after = request.lastEventId();
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        List<ScriptedServer.Later> events = new ArrayList<>();
        for (int number = first; number <= EVENTS; number++) {
            String chunk = StreamBytes.chunk(StreamBytes.event(number));
            events.add(new ScriptedServer.Later(step(random), chunk));
        }
        events.add(new ScriptedServer.Later(step(random), StreamBytes.END));
        String head = StreamBytes.chunkedHead(request.id());
        return new ScriptedServer.Answer(head, ScriptedServer.End.KEEP, null, events);
    }

    /** Installs a configuration that moves or removes routes, or changes timeouts or limits. */
    private void change(Random random) throws Exception {
        version++;
        String prefix = random.nextBoolean() ? "read" : "gone";
        ObjectNode spec =
                (ObjectNode)
                        Json.read(
                                GatewayFixture.CONFIGURATION.formatted(version, prefix).getBytes());
        spec.withArray("services").addObject().put("name", "others").put("max_conns", 50);
        ObjectNode read = (ObjectNode) spec.path("routes").path(3);
        read.put("service", random.nextBoolean() ? "records" : "others");
        for (var route : spec.path("routes")) {
            int timeout = route.path("timeout_ms").asInt();
            ((ObjectNode) route)
                    .put("timeout_ms", random.nextBoolean() ? timeout : SHORT_TIMEOUT_MILLIS);
        }
        if (random.nextBoolean()) {
            ObjectNode limits = (ObjectNode) spec.path("limits");
            limits.put("max_body_bytes", SMALLEST_BODY_LIMIT_BYTES);
            limits.put("header_timeout_ms", 300).put("idle_timeout_ms", 300);
        }
        if (random.nextInt(EVENTS) == 0) {
            spec.withArray("routes").remove(0);
        }
        fixture.store.put("config", "main", spec);
    }

    private void call(int stop, int caller) {
        Random random = new Random(seed + 1000L * stop + caller);
        int port = fixture.gatewaySettings.get(stop).callerAddress().getPort();
        int number = 0;
        while (!ended) {
            try (KeptConnectionCaller connection = new KeptConnectionCaller(port)) {
                boolean kept = true;
                while (kept && !ended) {
                    String id = "r" + stop + "-" + caller + "-" + number++;
                    kept = send(connection, request(id, random));
                }
            } catch (IOException notListening) {
                if (stopping) {
                    return;
                }
            }
        }
    }

    private static KeptConnectionCaller.Request request(String id, Random random) {
        String path = PATHS.get(random.nextInt(PATHS.size()));
        boolean stream = path.startsWith("/ask/") || path.startsWith("/score/");
        boolean small = random.nextBoolean();
        return new KeptConnectionCaller.Request(
                path,
                id,
                stream ? "m1" : "",
                small ? 1 : 1 + random.nextInt(LONGEST_BODY_BYTES),
                small ? 0 : random.nextInt(LONGEST_PAUSE_MILLIS),
                random.nextDouble() < LAST_OF_CONNECTION_SHARE);
    }

    /** Returns whether the connection can be used further. */
    private boolean send(KeptConnectionCaller connection, KeptConnectionCaller.Request request) {
        try {
            KeptConnectionCaller.Answer answer = connection.send(request);
            ends.put(request.id(), request.path() + " " + answer.status());
            String whole = request.model().isEmpty() ? "answer of " + request.id() : wholeStream();
            if (answer.status() == OK && !answer.body().equals(whole)) {
                wrongAnswers.add(request.id() + ": " + answer.body());
            }
            return answer.connectionKept();
        } catch (IOException closed) {
            ends.put(request.id(), request.path() + " " + closed.getMessage());
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static String wholeStream() {
        return IntStream.rangeClosed(1, EVENTS)
                .mapToObj(StreamBytes::event)
                .collect(Collectors.joining());
    }

    private static void signal(GatewayChild child, String name) throws Exception {
        String command = "kill -" + name + " " + child.pid() + " 2>/dev/null";
        new ProcessBuilder("sh", "-c", command).start().waitFor();
    }

    /** Changes the configuration and sends SIGHUP until the process has ended. */
    private void changeUntilEnded(GatewayChild child, Random random) throws Exception {
        long stopAt = System.nanoTime() + BEFORE_STOP.toNanos();
        while (child.isAlive()) {
            change(random);
            signal(child, "HUP");
            TimeUnit.MILLISECONDS.sleep(random.nextInt(LONGEST_CHANGE_MILLIS));
            if (System.nanoTime() > stopAt) {
                stopping = true;
                child.terminate();
            }
        }
    }

    private void runAndStop(int stop) throws Exception {
        stopping = false;
        GatewayChild child = fixture.startChild("gateway-" + stop);
        children.add(child);
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            Thread thread = new Thread(() -> call(stop, number), "caller-" + caller);
            thread.setDaemon(true);
            thread.start();
            callers.add(thread);
        }
        changeUntilEnded(child, new Random(seed + stop));
        for (Thread caller : callers) {
            caller.join(DRAIN_TIME.toMillis());
        }
    }

    // Guards against requests that a server has got and whose connection ends without a complete
    // answer, because of a change of the configuration, a SIGHUP or a stop, although their time is
    // not over, and against answers that are not whole.
    @Test
    void passedOnRequestsAreAnswered() throws Exception {
        fixture.drainTime = DRAIN_TIME;
        startServers();
        change(new Random(seed));
        for (int stop = 0; stop < STOPS; stop++) {
            runAndStop(stop);
        }
        Map<String, String> lost = new TreeMap<>();
        for (ScriptedServer server : servers) {
            server.received().forEach(id -> lost.put(id, ends.getOrDefault(id, "no end")));
        }
        // A question for the state of a server has no id.
        lost.remove("");
        int passedOn = lost.size();
        lost.values().removeIf(end -> end.matches("/\\w+/1 \\d+"));
        for (GatewayChild child : children) {
            for (String line : child.linesWith(TIME_OVER)) {
                lost.keySet().removeIf(id -> line.contains("request=" + id + " "));
            }
        }
        Map<String, Integer> counts = new TreeMap<>();
        ends.values().forEach(end -> counts.merge(end, 1, Integer::sum));
        System.out.println("seed " + seed + ", passed on " + passedOn + ", ends " + counts);
        assertTrue(passedOn > STOPS * CALLERS, "passed on: " + passedOn);
        assertEquals(Map.of(), lost, "passed on and not answered");
        assertEquals(List.of(), List.copyOf(wrongAnswers), "answers that are not whole");
    }
}
