package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.trial.GatewayChild;

/**
 * Gateways that are stopped or killed while servers work on requests, refuse them, send refusals
 * once more and break answers off. Callers send a refused request again, under the same id, at the
 * same or another gateway.
 *
 * <p>{@code -Dtarragonlug.restarts} sets the number of restarts before the last kill.
 */
class RestartDuringCallsTest {
    private static final int RESTARTS = Integer.getInteger("tarragonlug.restarts", 1);
    private static final int GATEWAYS = 2;
    private static final int CALLERS = 8;
    private static final int SENDS_OF_A_REQUEST = 3;
    private static final int CLOSED = 0;
    private static final int NONE = -1;

    /** Time in which callers still reach a gateway that has been told to stop. */
    private static final long STILL_REACHED_MILLIS = 300;

    private static final long BETWEEN_RESTARTS_MILLIS = 700;
    private static final long LAST_RUNS_MILLIS = 500;
    private static final long WAIT_SECONDS = 12;

    /** Time for which a server may work on after its request has gone on at another one. */
    private static final long OVERLAP_NANOS = 400_000_000L;

    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);
    private static final List<String> PATHS = List.of("/issue/1", "/score/1", "/ask/1");

    private final GatewayFixture fixture = new GatewayFixture();
    private final List<WorkingServer> servers = new ArrayList<>();
    private final List<GatewayChild> children = new ArrayList<>();

    /** Number of the gateway that runs at each place; {@link #NONE} while none does. */
    private final AtomicIntegerArray current = new AtomicIntegerArray(GATEWAYS);

    private final AtomicInteger sentAgain = new AtomicInteger();

    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final Collection<String> wrongStreams = new ConcurrentLinkedQueue<>();
    private volatile boolean ended;

    @AfterEach
    void close() throws Exception {
        ended = true;
        fixture.close();
        for (WorkingServer server : servers) {
            server.close();
        }
    }

    private void start() throws Exception {
        for (int number = 0; number < 3; number++) {
            String id = "server-" + number;
            servers.add(new WorkingServer(fixture.store, "r" + id, "records", List.of()));
            servers.add(new WorkingServer(fixture.store, "e" + id, "engines", List.of("m1")));
        }
        fixture.configure(1, "read");
        for (int place = 0; place < GATEWAYS; place++) {
            startGateway(place);
        }
    }

    private void startGateway(int place) throws Exception {
        children.add(fixture.startChild("gateway-" + children.size()));
        current.set(place, children.size() - 1);
    }

    private void signal(int place, String name) throws Exception {
        String command = "kill -" + name + " " + children.get(current.get(place)).pid();
        assertEquals(0, new ProcessBuilder("sh", "-c", command).start().waitFor());
    }

    private void call(int caller) {
        for (int number = 0; !ended; number++) {
            String path = PATHS.get(number % PATHS.size());
            String id = path.substring(1, path.length() - 1) + caller + "-" + number;
            int status = CLOSED;
            for (int send = 0; send < SENDS_OF_A_REQUEST; send++) {
                status = send(path, id);
                if (!NOT_RUN.contains(status)) {
                    break;
                }
                sentAgain.incrementAndGet();
            }
            statuses.put(id, status);
        }
    }

    /** Sends a request at any gateway and returns the status of its answer. */
    private int send(String path, String id) {
        int place = ThreadLocalRandom.current().nextInt(GATEWAYS);
        int running = current.get(place);
        int gateway = running == NONE ? current.get(1 - place) : running;
        String model = path.startsWith("/issue/") ? "" : "m1";
        try {
            HttpResponse<String> answer =
                    fixture.sendAsync(gateway, path, id, model, "x")
                            .get(WAIT_SECONDS, TimeUnit.SECONDS);
            boolean stream = answer.statusCode() == 200 && !path.startsWith("/issue/");
            if (stream && !answer.body().equals(wholeStream(id))) {
                wrongStreams.add(id + ": " + answer.body());
            }
            return answer.statusCode();
        } catch (ExecutionException closed) {
            return CLOSED;
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static String wholeStream(String id) {
        return IntStream.rangeClosed(1, WorkingServer.EVENTS)
                .mapToObj(event -> "id: " + event + "\ndata: " + id + "\n\n")
                .collect(Collectors.joining());
    }

    /** Stops and kills gateways in turn, starts others in their places, and kills one at last. */
    private void restart() throws Exception {
        for (int number = 0; number < RESTARTS; number++) {
            Thread.sleep(BETWEEN_RESTARTS_MILLIS);
            int place = number % GATEWAYS;
            signal(place, number % 2 == 0 ? "TERM" : "KILL");
            Thread.sleep(STILL_REACHED_MILLIS);
            current.set(place, NONE);
            startGateway(place);
        }
        int last = RESTARTS % GATEWAYS;
        signal(last, "KILL");
        current.set(last, NONE);
        Thread.sleep(BETWEEN_RESTARTS_MILLIS);
    }

    private List<WorkingServer.Run> runs() {
        List<WorkingServer.Run> runs = new ArrayList<>();
        servers.forEach(server -> runs.addAll(server.runs()));
        return runs;
    }

    private static boolean overlap(WorkingServer.Run first, WorkingServer.Run second) {
        return first != second
                && first.id().equals(second.id())
                && first.beginNanos() <= second.beginNanos()
                && first.endNanos() - second.beginNanos() > OVERLAP_NANOS;
    }

    // Guards against requests that run twice, that are answered as not run although they ran, and
    // against streams that go on at a server while the one before still works on them, or that are
    // not one run after the other.
    @Test
    void requestsRunOnceAndRefusalsAreTrueAcrossRestarts() throws Exception {
        start();
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            Thread thread = new Thread(() -> call(number), "caller-" + caller);
            thread.setDaemon(true);
            thread.start();
            callers.add(thread);
        }
        restart();
        ended = true;
        for (Thread caller : callers) {
            caller.join(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        }
        Thread.sleep(LAST_RUNS_MILLIS);
        List<WorkingServer.Run> runs = runs();
        printCounts(runs);
        List<String> once = new ArrayList<>();
        runs.stream().filter(run -> !run.path().startsWith("/ask/")).forEach(r -> once.add(r.id()));
        Set<String> twice = new HashSet<>(once);
        twice.removeIf(id -> Collections.frequency(once, id) == 1);
        Set<String> refused = new HashSet<>();
        runs.forEach(run -> refused.add(run.id()));
        refused.removeIf(id -> !NOT_RUN.contains(statuses.getOrDefault(id, CLOSED)));
        assertTrue(servers.stream().mapToInt(WorkingServer::copies).sum() > 10, "few copies");
        assertEquals(Set.of(), twice, "run twice");
        assertEquals(Set.of(), refused, "run, but answered as not run");
        assertEquals(List.of(), List.copyOf(wrongStreams), "streams that are not whole");
        for (WorkingServer.Run first : runs) {
            for (WorkingServer.Run second : runs) {
                assertTrue(!overlap(first, second), first + " overlaps " + second);
            }
        }
    }

    private void printCounts(List<WorkingServer.Run> runs) {
        Map<String, Integer> counts = new TreeMap<>();
        statuses.forEach((id, status) -> counts.merge(id.split("/")[0] + status, 1, Integer::sum));
        long ids = runs.stream().map(WorkingServer.Run::id).distinct().count();
        long streams = runs.stream().filter(run -> run.path().startsWith("/ask/")).count();
        long askIds =
                runs.stream()
                        .filter(run -> run.path().startsWith("/ask/"))
                        .map(WorkingServer.Run::id)
                        .distinct()
                        .count();
        int copies = servers.stream().mapToInt(WorkingServer::copies).sum();
        System.out.println(
                counts
                        + " runs "
                        + runs.size()
                        + " of "
                        + ids
                        + " requests, resumed "
                        + (streams - askIds)
                        + ", copies "
                        + copies
                        + ", sent again "
                        + sentAgain);
    }
}
