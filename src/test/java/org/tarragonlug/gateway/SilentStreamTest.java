package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.gateway.StreamBytes.LAST_CHUNK;
import static org.tarragonlug.gateway.StreamBytes.chunk;
import static org.tarragonlug.gateway.StreamBytes.chunkedHead;
import static org.tarragonlug.gateway.StreamBytes.event;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tarragonlug.error.TarragonlugException;

/** Streams whose server is silent for a while in their middle and then goes on. */
class SilentStreamTest {
    private static final Duration PAUSE = Duration.ofMillis(2400);
    private static final Duration CALLER_PATIENCE = Duration.ofSeconds(15);
    private static final String REQUEST = "r1";
    private static final int EVENTS = 4;

    private final GatewayFixture fixture = new GatewayFixture();
    private final CompletableFuture<Void> streamBegun = new CompletableFuture<>();
    private final List<ScriptedServer> servers = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** How the server that is asked to resume the stream answers. */
    private enum Refusal {
        FULL(ScriptedServer.refusal(REQUEST), ScriptedServer.End.KEEP),
        UNAVAILABLE(ScriptedServer.answer(503, REQUEST, "", ""), ScriptedServer.End.KEEP),
        ERROR(ScriptedServer.answer(500, REQUEST, "", "failure"), ScriptedServer.End.KEEP),
        NOT_FOUND(ScriptedServer.answer(404, REQUEST, "", ""), ScriptedServer.End.KEEP),
        CLOSED("", ScriptedServer.End.CLOSE),
        RESET("", ScriptedServer.End.RESET);

        private final String bytes;
        private final ScriptedServer.End end;

        Refusal(String bytes, ScriptedServer.End end) {
            this.bytes = bytes;
            this.end = end;
        }
    }

    /**
     * Starts two servers.
     *
     * @param first the answer of the one that is asked first
     * @param others answers later requests at both
     */
    private void startServers(ScriptedServer.Answer first, ScriptedServer.Script others) {
        AtomicBoolean asked = new AtomicBoolean();
        for (String id : List.of("e1", "e2")) {
            servers.add(
                    fixture.startScripted(
                            id,
                            "engines",
                            List.of("m1"),
                            (request, number, onConnection) -> {
                                if (asked.compareAndSet(false, true)) {
                                    streamBegun.complete(null);
                                    return first;
                                }
                                return others.answer(request, number, onConnection);
                            }));
        }
    }

    /** Returns a stream that begins with an event and goes on later. */
    private static ScriptedServer.Answer stream(
            ScriptedServer.End end, ScriptedServer.Later... later) {
        return new ScriptedServer.Answer(
                chunkedHead(REQUEST) + chunk(event(1)), end, null, List.of(later));
    }

    /** Returns what a server sends later in its stream. */
    private static ScriptedServer.Later after(Duration pause, String bytes) {
        return new ScriptedServer.Later(pause.toMillis(), bytes);
    }

    private static ScriptedServer.Answer pauseInStream(Duration pause) {
        return stream(
                ScriptedServer.End.KEEP,
                after(
                        pause,
                        chunk(event(2)) + chunk(event(3)) + chunk(event(4)) + StreamBytes.END));
    }

    /** Returns the rest of a stream that is complete after its last event. */
    private static ScriptedServer.Answer rest(String lastEventId) {
        StringBuilder events = new StringBuilder();
        for (int number = Integer.parseInt(lastEventId) + 1; number <= EVENTS; number++) {
            events.append(event(number));
        }
        return new ScriptedServer.Answer(
                chunkedHead(REQUEST) + chunk(events.toString()) + StreamBytes.END,
                ScriptedServer.End.KEEP);
    }

    private CompletableFuture<String> receive() throws Exception {
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
        int port = fixture.gatewaySettings.get(0).callerAddress().getPort();
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return StreamBytes.receive(port, "/ask/1");
                    } catch (IOException e) {
                        return e.toString();
                    }
                });
    }

    private void assertWhole(CompletableFuture<String> stream) throws Exception {
        String received = stream.get(CALLER_PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
        for (int number = 1; number <= EVENTS; number++) {
            String part = "part " + number;
            assertTrue(received.contains(part), part + " is missing: " + received);
            assertEquals(received.indexOf(part), received.lastIndexOf(part), received);
        }
        assertTrue(received.contains(LAST_CHUNK), "the stream has no end: " + received);
    }

    private void stopGateway() throws TarragonlugException {
        streamBegun.join();
        fixture.gateways.get(0).drain();
    }

    /** The other server does not take the stream over. */
    @Nested
    class OtherServerRefuses {
        private void startWith(Refusal refusal) {
            startServers(
                    pauseInStream(PAUSE),
                    (request, number, onConnection) ->
                            new ScriptedServer.Answer(refusal.bytes, refusal.end));
        }

        // Guards against a stream that is given up at its silent server before another one has
        // taken it over, so that one refusal there ends it.
        @ParameterizedTest
        @EnumSource(Refusal.class)
        void streamGoesOnAtItsServer(Refusal refusal) throws Exception {
            startWith(refusal);
            assertWhole(receive());
        }

        // Guards against the same loss while the gateway stops, when nothing waits any more.
        @ParameterizedTest
        @EnumSource(Refusal.class)
        void streamGoesOnAtItsServerDuringAStop(Refusal refusal) throws Exception {
            startWith(refusal);
            CompletableFuture<String> stream = receive();
            stopGateway();
            assertWhole(stream);
        }
    }

    /** The other server takes the stream over. */
    @Nested
    class OtherServerResumes {
        // Guards against a stream that is not resumed although its server is silent for good, and
        // against events of both servers in one stream.
        @Test
        void streamGoesOnAtTheOtherServer() throws Exception {
            startServers(
                    pauseInStream(CALLER_PATIENCE),
                    (request, number, onConnection) -> rest(request.lastEventId()));
            assertWhole(receive());
        }
    }

    /** Servers reserve slots. */
    @Nested
    class OtherServerReservesASlot {
        // Guards against a stream at two servers at once, and against a reservation that is not
        // used. The other server gets the request only when the silent one has lost it.
        @Test
        void streamMovesToTheReservedSlot() throws Exception {
            List<String> reservations = new CopyOnWriteArrayList<>();
            startServers(
                    pauseInStream(CALLER_PATIENCE),
                    (request, number, onConnection) -> {
                        reservations.add(request.reservation());
                        return rest(request.lastEventId());
                    });
            servers.forEach(server -> server.setReservingSlots(true));
            assertWhole(receive());
            assertEquals(List.of("slot"), reservations);
        }
    }

    /** The queue of the gateway is closed, since it stops, when the stream needs a server. */
    @Nested
    class ServerLostDuringAStop {
        // Guards against a begun stream that is broken off during a stop although a server that is
        // full for a moment could resume it. Outside a stop it waits for that.
        @Test
        void streamWaitsForAFullServer() throws Exception {
            AtomicBoolean refused = new AtomicBoolean();
            Duration step = Duration.ofMillis(900);
            startServers(
                    stream(
                            ScriptedServer.End.RESET,
                            after(step, chunk(event(2))),
                            after(step, chunk(event(3))),
                            after(step, "")),
                    (request, number, onConnection) ->
                            refused.compareAndSet(false, true)
                                    ? new ScriptedServer.Answer(
                                            ScriptedServer.refusal(REQUEST),
                                            ScriptedServer.End.KEEP)
                                    : rest(request.lastEventId()));
            CompletableFuture<String> stream = receive();
            stopGateway();
            assertWhole(stream);
        }
    }
}
