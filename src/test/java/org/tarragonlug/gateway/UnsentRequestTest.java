package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.http.AnswerName;
import org.tarragonlug.http.CallPosition;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpBody;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.HttpReceiver;
import org.tarragonlug.http.LoopbackFixture;

/**
 * Servers that end their connections around the moments at which requests are written to them. What
 * counts as not sent must not have reached a server, not even in part.
 *
 * <p>{@code -Dtarragonlug.unsent.rounds} sets the number of requests that each caller sends.
 */
class UnsentRequestTest {
    private static final int CALLERS = 12;
    private static final int ROUNDS = Integer.getInteger("tarragonlug.unsent.rounds", 12);

    /** Time in which servers read what was sent last. */
    private static final long LAST_BYTES_MILLIS = 100;

    private static final long WAIT_SECONDS = 20;
    private static final List<Integer> BODY_BYTES = List.of(600, 64 * 1024, 900 * 1024);
    private static final double FAULT_SHARE = 0.5;

    /** What a caller does for its requests, one after the other. */
    private interface Caller {
        void send(int caller, int round) throws Exception;
    }

    private static byte[] body(int round) {
        return new byte[BODY_BYTES.get(round % BODY_BYTES.size())];
    }

    /** Lets all callers send their requests, each without a pause, all at the same time. */
    private static void runCallers(Caller action) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        List<Future<?>> results = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            results.add(
                    threads.submit(
                            () -> {
                                for (int round = 0; round < ROUNDS; round++) {
                                    action.send(number, round);
                                }
                                return null;
                            }));
        }
        try {
            for (Future<?> each : results) {
                each.get();
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /** Calls of the HTTP client. */
    @Nested
    class Calls {
        private final LoopbackFixture loopback = new LoopbackFixture();
        private final ClosingServer server = new ClosingServer(FAULT_SHARE);
        private final Collection<String> notSent = new ConcurrentLinkedQueue<>();
        private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();

        @AfterEach
        void close() throws Exception {
            loopback.close();
            server.close();
        }

        /** Completes with the outcome of a call, which may be withdrawn. */
        private final class Receiver implements HttpReceiver {
            private final CompletableFuture<String> outcome = new CompletableFuture<>();
            private final boolean maySend = ThreadLocalRandom.current().nextInt(20) > 0;

            @Override
            public boolean maySend() {
                return maySend;
            }

            @Override
            public void onSent(CallPosition position) {}

            @Override
            public void onHead(int status, Map<String, String> headers) {}

            @Override
            public void onData(byte[] part) {}

            @Override
            public void onCompleted() {
                outcome.complete("ANSWERED");
            }

            @Override
            public void onFailed(HttpFailure failure) {
                outcome.complete(failure.kind().name());
            }
        }

        private void call(String id, byte[] body) throws Exception {
            HttpCall call =
                    new HttpCall(
                            "POST",
                            "/" + id,
                            Map.of("host", "a", "tarragonlug-request-id", id),
                            HttpBody.of(body),
                            LoopbackFixture.LONG_TIMEOUT,
                            ConnectionUse.POOLED,
                            Optional.of(new AnswerName("tarragonlug-request-id", id)));
            Receiver receiver = new Receiver();
            loopback.connections.start(server.address(), call, receiver);
            String outcome = receiver.outcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
            outcomes.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
            if (outcome.equals("NOT_SENT") || outcome.equals("WITHDRAWN")) {
                notSent.add(id);
            }
        }

        // Guards against a call that is sent to another server as if it had never been sent,
        // although a byte of it has reached the server before.
        @Test
        void nothingOfAnUnsentCallReachesTheServer() throws Exception {
            runCallers((caller, round) -> call("call-" + caller + "-" + round + "-", body(round)));
            Thread.sleep(LAST_BYTES_MILLIS);
            System.out.println(new TreeMap<>(outcomes) + " " + server.faults());
            Set<String> begun = new HashSet<>(server.begun());
            begun.retainAll(notSent);
            assertEquals(Set.of(), begun, "not sent, but begun");
            for (String head : server.incompleteHeads()) {
                boolean unsent = notSent.stream().anyMatch(id -> head.contains("/" + id));
                assertFalse(unsent, "not sent, but received in part: " + head);
            }
        }
    }

    /** Requests of callers. */
    @Nested
    class Requests {
        private static final int SERVERS = 3;
        private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

        private final GatewayFixture fixture = new GatewayFixture();
        private final List<ClosingServer> servers = new ArrayList<>();
        private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

        @AfterEach
        void close() throws Exception {
            fixture.close();
            for (ClosingServer server : servers) {
                server.close();
            }
        }

        private void startServers() {
            for (int number = 0; number < SERVERS; number++) {
                ClosingServer server = new ClosingServer(FAULT_SHARE);
                servers.add(server);
                fixture.store.put("servers", "records-" + number, entry(server));
            }
        }

        private static ObjectNode entry(ClosingServer server) {
            ObjectNode entry = JsonNodeFactory.instance.objectNode();
            entry.put("service", "records");
            entry.put("address", "127.0.0.1:" + server.address().getPort());
            entry.put("zone", "home");
            entry.put("slots", 8);
            entry.put("state", "ready");
            entry.put("born", 1);
            entry.putArray("models");
            return entry;
        }

        private void send(int caller, int round) throws Exception {
            String id = "request-" + caller + "-" + round;
            HttpResponse<String> answer =
                    fixture.sendBody(0, "/issue/1", id, body(round))
                            .get(WAIT_SECONDS, TimeUnit.SECONDS);
            statuses.put(id, answer.statusCode());
        }

        // Guards against a request that must run once and is begun by two servers, or answered as
        // not run although one has begun it, because its connection ended while it was sent.
        @Test
        void requestIsBegunOnceAndNeverRefusedAfterThat() throws Exception {
            startServers();
            fixture.configure(1, "read");
            fixture.startGateway("one");
            GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
            runCallers((caller, round) -> send(caller, round));
            Thread.sleep(LAST_BYTES_MILLIS);
            List<String> begun = new ArrayList<>();
            servers.forEach(server -> begun.addAll(server.begun()));
            Map<Integer, Integer> counts = new TreeMap<>();
            statuses.values().forEach(status -> counts.merge(status, 1, Integer::sum));
            System.out.println(counts + " begun " + begun.size());
            servers.forEach(server -> System.out.println(server.faults()));
            Set<String> twice = new HashSet<>(begun);
            twice.removeIf(id -> Collections.frequency(begun, id) == 1);
            Set<String> refused = new HashSet<>(begun);
            refused.removeIf(id -> !NOT_RUN.contains(statuses.get(id)));
            assertEquals(Set.of(), twice, "begun twice");
            assertEquals(Set.of(), refused, "begun, but answered as not run");
        }
    }
}
