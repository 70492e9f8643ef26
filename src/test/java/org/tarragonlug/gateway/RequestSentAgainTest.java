package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.tarragonlug.TestSeeds;
import org.tarragonlug.runtime.Json;

/**
 * Requests that reach servers a second time, on each way on which that can happen, from servers
 * that send their refusals once more. It is judged from what the servers saw.
 */
class RequestSentAgainTest {
    private static final int LANES = 12;
    private static final int WAVES = 3;
    private static final int MANY = 8;

    /** Time in which the gateway learns of servers that are listed anew. */
    private static final long NEWS_MILLIS = 25;

    private static final long ANSWER_SECONDS = 15;
    private static final int LONG_BODY_BYTES = 900_000;

    /** Cases that are played with each seed. */
    private static final int CASES = Integer.getInteger("tarragonlug.cases", 26);

    /** Time for which a request may be at two servers while the first one is being stopped. */
    private static final long STOP_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Faults that are printed with their cases. */
    private static final int LISTED_FAULTS = 20;

    /** What must not happen to a request. */
    private enum Fault {
        /** It must run once, and servers have begun it more often. */
        BEGUN_TWICE,
        /** A server has begun it, and its caller was told that it has not run. */
        BEGUN_BUT_REFUSED,
        /** A stream goes on at a server while another one works on it. */
        AT_TWO_SERVERS,
        ANSWER_OF_ANOTHER
    }

    /** Kinds of requests. */
    private enum Kind {
        NON_IDEMPOTENT(false, false),
        STREAM(true, false),
        IDEMPOTENT(false, true),
        RESUMABLE_STREAM(true, true);

        private final boolean stream;
        private final boolean retryable;

        Kind(boolean stream, boolean retryable) {
            this.stream = stream;
            this.retryable = retryable;
        }

        private String path(int lane) {
            return "/kind-" + ordinal() + "-" + lane + "/";
        }

        private void addRoute(ArrayNode routes, int lane) {
            ObjectNode route = routes.addObject();
            route.put("name", "route-" + ordinal() + "-" + lane)
                    .put("host", "127.0.0.1")
                    .put("path_prefix", path(lane))
                    .put("kind", kindName())
                    .put("timeout_ms", 6000)
                    .put("target_latency_ms", stream ? 600 : 250)
                    .put("priority", 0)
                    .put("service", (stream ? "engines-" : "records-") + lane)
                    .put("max_attempts", retryable ? 3 : 1);
            if (stream) {
                route.put("resumable", retryable).put("gap_target_ms", 400);
            }
        }

        private String kindName() {
            if (stream) {
                return "streaming";
            }
            return retryable ? "idempotent" : "non_idempotent";
        }
    }

    /** One case: its requests, how they are refused, and whether there is a second server. */
    private record Case(
            SendAgainWay way, RefusalCopy copy, Kind kind, int atOnce, boolean secondListed) {
        /** Returns the case of a number, so that all ways and copies come equally often. */
        static Case random(int number, Random random) {
            SendAgainWay[] ways = SendAgainWay.values();
            RefusalCopy[] copies = RefusalCopy.values();
            Kind[] kinds = Kind.values();
            return new Case(
                    ways[number % ways.length],
                    copies[number % copies.length],
                    kinds[random.nextInt(kinds.length)],
                    random.nextBoolean() ? MANY : 1,
                    random.nextBoolean());
        }
    }

    /** What is found in all cases of a play. */
    private static final class Findings {
        private final Collection<String> faults = new ConcurrentLinkedQueue<>();
        private final Map<String, Integer> outcomes = new TreeMap<>();

        private final Map<Fault, Integer> faultCounts = new TreeMap<>();

        /** Answers other than successes, by way and copy. */
        private final Map<String, Integer> failures = new TreeMap<>();

        private final AtomicInteger requests = new AtomicInteger();
        private final AtomicInteger sentAgain = new AtomicInteger();
        private final AtomicInteger copies = new AtomicInteger();
        private final AtomicInteger connections = new AtomicInteger();
        private final AtomicInteger usedConnections = new AtomicInteger();
        private final AtomicInteger repeatedOnConnection = new AtomicInteger();

        void add(RefusingServers servers) {
            copies.addAndGet(servers.copies());
            connections.addAndGet(servers.connections());
            usedConnections.addAndGet(servers.usedConnections());
            repeatedOnConnection.addAndGet(servers.repeatedOnConnection().size());
        }

        synchronized String figures() {
            return "requests=%s sent_again=%s copies=%s connections=%s used=%s repeated=%s %s %s"
                    .formatted(
                            requests,
                            sentAgain,
                            copies,
                            connections,
                            usedConnections,
                            repeatedOnConnection,
                            faultCounts,
                            outcomes);
        }

        synchronized void report(Case each, String id, Fault fault) {
            faultCounts.merge(fault, 1, Integer::sum);
            if (faults.size() < LISTED_FAULTS) {
                faults.add(fault + " " + id + " " + each);
            }
        }

        synchronized void count(Case each, String outcome) {
            outcomes.merge(each.kind + " " + outcome, 1, Integer::sum);
            if (!outcome.equals("own")) {
                failures.merge(outcome + " " + each.way + " " + each.copy, 1, Integer::sum);
            }
        }
    }

    private final Findings findings = new Findings();
    private PauseMeter meter;
    private final List<RefusingServers> servers = new ArrayList<>();
    private final AtomicInteger requestNumber = new AtomicInteger();

    private void configure(GatewayFixture fixture) {
        ObjectNode configuration = Json.object();
        configuration.put("version", 1);
        ArrayNode routes = configuration.putArray("routes");
        ArrayNode services = configuration.putArray("services");
        for (int lane = 0; lane < LANES; lane++) {
            for (Kind kind : Kind.values()) {
                kind.addRoute(routes, lane);
            }
            services.addObject().put("name", "records-" + lane).put("max_conns", 50);
            ObjectNode engine = services.addObject().put("name", "engines-" + lane);
            engine.put("max_conns", 50)
                    .putObject("engine")
                    .put("weights_mb", 100)
                    .put("adapter_slots", 2)
                    .put("loads_per_s", 4)
                    .putArray("models")
                    .addObject()
                    .put("name", "m1")
                    .put("weights_mb", 60)
                    .put("load_s", 0.3)
                    .put("disk_s", 0.2)
                    .put("warm_s", 0.1)
                    .put("adapters", 0)
                    .put("adapter_mb", 1);
            addOther(routes, services, "records-" + lane);
            addOther(routes, services, "engines-" + lane);
        }
        configuration.putObject("limits").put("max_body_bytes", 4194304);
        fixture.store.put("config", "main", configuration);
    }

    /** Adds the service that can use the address of a server of the given one. */
    private static void addOther(ArrayNode routes, ArrayNode services, String service) {
        services.addObject().put("name", "other-" + service).put("max_conns", 50);
        routes.addObject()
                .put("name", "other-" + service)
                .put("host", "127.0.0.1")
                .put("path_prefix", "/other-" + service + "/")
                .put("kind", "non_idempotent")
                .put("timeout_ms", 6000)
                .put("target_latency_ms", 250)
                .put("priority", 0)
                .put("service", "other-" + service)
                .put("max_attempts", 1);
    }

    /** Plays one case with the servers of a lane. */
    private void play(GatewayFixture fixture, Case each, int lane) throws Exception {
        RefusingServers target = servers.get(2 * lane + (each.kind.stream ? 1 : 0));
        List<String> ids = new ArrayList<>();
        for (int wave = 0; wave < WAVES; wave++) {
            target.prepare(each.way, each.copy, each.kind.stream, each.secondListed);
            Thread.sleep(NEWS_MILLIS);
            Map<String, CompletableFuture<HttpResponse<String>>> answers = new TreeMap<>();
            for (int number = 0; number < each.atOnce; number++) {
                String id = "r" + requestNumber.incrementAndGet() + "-" + lane;
                boolean other =
                        each.way == SendAgainWay.ADDRESS_OF_OTHER_SERVICE
                                && (number + wave) % 2 == 1;
                answers.put(id, send(fixture, each, lane, id, other, target));
            }
            for (Map.Entry<String, CompletableFuture<HttpResponse<String>>> answer :
                    answers.entrySet()) {
                check(each, target, answer.getKey(), answer.getValue());
            }
            ids.addAll(answers.keySet());
        }
        target.awaitIdle();
        ids.forEach(id -> checkRuns(each, target, id));
    }

    private CompletableFuture<HttpResponse<String>> send(
            GatewayFixture fixture,
            Case each,
            int lane,
            String id,
            boolean other,
            RefusingServers target) {
        String path = other ? "/" + target.otherService() + "/" : each.kind.path(lane);
        String model = each.kind.stream && !other ? "m1" : "";
        String body = each.copy.isBeforeBody() ? "x".repeat(LONG_BODY_BYTES) : "x";
        return fixture.sendAsync(0, path + id, id, model, body);
    }

    private void check(
            Case each,
            RefusingServers target,
            String id,
            CompletableFuture<HttpResponse<String>> pending)
            throws Exception {
        findings.requests.incrementAndGet();
        HttpResponse<String> answer;
        try {
            answer = pending.get(ANSWER_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            findings.count(each, "cut");
            return;
        }
        int status = answer.statusCode();
        boolean own =
                answer.body().equals(id) || answer.body().equals(RefusingServers.events(id, 0));
        findings.count(each, status == 200 ? own ? "own" : "wrong" : Integer.toString(status));
        if (status == 200 && !own) {
            findings.report(each, id, Fault.ANSWER_OF_ANOTHER);
        }
        boolean saysNotRun = status == 503 || status == 429 || status == 408 || status == 421;
        if (saysNotRun && target.begins(id) > 0) {
            findings.report(each, id, Fault.BEGUN_BUT_REFUSED);
        }
    }

    private void checkRuns(Case each, RefusingServers target, String id) {
        if (target.sends(id) > 1) {
            findings.sentAgain.incrementAndGet();
        }
        if (!each.kind.retryable && target.begins(id) > 1) {
            findings.report(each, id, Fault.BEGUN_TWICE);
        }
        List<RefusingServers.Run> runs =
                target.runs().stream().filter(run -> run.id().equals(id)).toList();
        for (RefusingServers.Run run : runs) {
            for (RefusingServers.Run later : runs) {
                if (each.kind.stream && later.beganNanos() > run.beganNanos()) {
                    checkStopped(each, run, later);
                }
            }
        }
    }

    /** Checks that a run has ended soon after a later one of the same request has begun. */
    private void checkStopped(Case each, RefusingServers.Run run, RefusingServers.Run later) {
        long overlap = run.endedNanos() - later.beganNanos();
        long paused = meter.nanosBetween(later.beganNanos(), run.endedNanos());
        String detail =
                " %d ms, paused for %d ms"
                        .formatted(
                                TimeUnit.NANOSECONDS.toMillis(overlap),
                                TimeUnit.NANOSECONDS.toMillis(paused));
        if (overlap > STOP_NANOS) {
            findings.report(each, run.id() + detail, Fault.AT_TWO_SERVERS);
        }
    }

    private void playSeed(long seed) {
        Random random = new Random(seed);
        List<Case> cases = new ArrayList<>();
        while (cases.size() < CASES) {
            cases.add(Case.random(cases.size(), random));
        }
        try (GatewayFixture fixture = new GatewayFixture();
                PauseMeter started = new PauseMeter()) {
            meter = started;
            playAll(fixture, cases);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void playAll(GatewayFixture fixture, List<Case> cases) throws Exception {
        servers.clear();
        for (int lane = 0; lane < LANES; lane++) {
            servers.add(new RefusingServers(fixture, "records-" + lane, List.of()));
            servers.add(new RefusingServers(fixture, "engines-" + lane, List.of("m1")));
        }
        configure(fixture);
        fixture.retryAllowance = 100_000;
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
        ExecutorService lanes = Executors.newFixedThreadPool(LANES);
        List<Future<?>> played = new ArrayList<>();
        for (int first = 0; first < LANES; first++) {
            int lane = first;
            played.add(
                    lanes.submit(
                            () -> {
                                for (int at = lane; at < cases.size(); at += LANES) {
                                    play(fixture, cases.get(at), lane);
                                }
                                return null;
                            }));
        }
        lanes.shutdown();
        for (Future<?> each : played) {
            each.get();
        }
        servers.forEach(findings::add);
    }

    // Guards against a request that runs twice, is refused as not run although it runs, or gets the
    // answer of another one, because a server sends a refusal once more.
    @Test
    void copyOfRefusalDecidesNothingAboutTheRequestThatIsSentAgain() {
        TestSeeds.forEach(1, this::playSeed);
        String figures = findings.figures();
        System.out.println(figures + " " + findings.failures);
        assertTrue(findings.sentAgain.get() > findings.requests.get() / 4, figures);
        assertEquals(List.of(), List.copyOf(findings.faults), figures);
        assertEquals(0, findings.repeatedOnConnection.get(), figures);
    }
}
