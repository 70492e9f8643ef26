package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls that are cancelled while they are in progress. */
class CancelledCallTest {
    /** Time in which the end of a closed connection is noticed. */
    private static final long CLOSING_MILLIS = 200;

    private final LoopbackFixture loopback = new LoopbackFixture();
    private final HeldTimers timers = new HeldTimers();
    private final HttpConnections connections =
            new HttpConnections(loopback.ioExecutor, timers, loopback.connections.limits());

    @AfterEach
    void close() throws Exception {
        connections.close();
        timers.shutdownNow();
        loopback.close();
    }

    /** Runs what is scheduled only when a test asks for it, however long the test takes. */
    private static final class HeldTimers extends ScheduledThreadPoolExecutor {
        private final Queue<Runnable> held = new ConcurrentLinkedQueue<>();

        HeldTimers() {
            super(1);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
            held.add(command);
            return super.schedule(() -> {}, 1, TimeUnit.DAYS);
        }

        void runAll() {
            held.forEach(Runnable::run);
        }
    }

    /** When a receiver cancels its call. */
    private enum Moment {
        BY_THE_TEST,
        MAY_SEND,
        SENT,
        ANSWER_SKIPPED
    }

    /** Cancels its call at one moment and records what it is told. */
    private static final class Receiver implements HttpReceiver {
        private final Moment moment;
        private final CompletableFuture<HttpExchange> exchange = new CompletableFuture<>();
        private final Queue<String> told = new ConcurrentLinkedQueue<>();
        private final CompletableFuture<Void> cancelled = new CompletableFuture<>();

        Receiver(Moment moment) {
            this.moment = moment;
        }

        private void record(String event) {
            told.add(event);
        }

        private void cancelAt(Moment present) {
            if (moment == present) {
                cancel();
            }
        }

        void cancel() {
            exchange.join().cancel();
            cancelled.complete(null);
        }

        @Override
        public boolean maySend() {
            record("may send");
            cancelAt(Moment.MAY_SEND);
            return true;
        }

        @Override
        public void onSent(CallPosition position) {
            record("sent");
            cancelAt(Moment.SENT);
        }

        @Override
        public void onAnswerSkipped(SkippedAnswer skipped) {
            record("skipped " + skipped.status());
            cancelAt(Moment.ANSWER_SKIPPED);
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            record("head " + status);
        }

        @Override
        public void onData(byte[] part) {
            record("data");
        }

        @Override
        public void onCompleted() {
            record("completed");
        }

        @Override
        public void onFailed(HttpFailure failure) {
            record("failed " + failure.kind());
        }
    }

    private Receiver start(InetSocketAddress address, String name, Moment moment) {
        HttpCall call =
                new HttpCall(
                        "GET",
                        "/",
                        Map.of(),
                        HttpBody.EMPTY,
                        LoopbackFixture.LONG_TIMEOUT,
                        ConnectionUse.POOLED,
                        Optional.of(new AnswerName("request-id", name)));
        Receiver receiver = new Receiver(moment);
        receiver.exchange.complete(connections.start(address, call, receiver));
        return receiver;
    }

    /** Returns what the receiver was told, after the timeout and the end of the connection. */
    private List<String> toldInTheEnd(Receiver receiver) throws Exception {
        LoopbackFixture.await(receiver.cancelled);
        timers.runAll();
        Thread.sleep(CLOSING_MILLIS);
        return List.copyOf(receiver.told);
    }

    // Guards against a receiver that is called after the cancellation of its call, here by the
    // timeout that expires later, or by the end of its connection.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nothingIsDeliveredAfterCancel(boolean sent) throws Exception {
        try (RawServer server = new RawServer(n -> null, false)) {
            Receiver receiver = start(server.address(), "r1", Moment.BY_THE_TEST);
            if (sent) {
                LoopbackFixture.eventually(() -> server.requests() == 1);
            }
            receiver.cancel();
            List<String> toldBefore = List.copyOf(receiver.told);
            assertEquals(toldBefore, toldInTheEnd(receiver));
        }
    }

    // Guards against a request that reaches a server after its call was cancelled, here while the
    // receiver is asked whether it may be sent.
    @Test
    void callCancelledBeforeItIsSentIsNotSent() throws Exception {
        try (RawServer server = new RawServer(n -> RawServer.ok("a"), true)) {
            Receiver receiver = start(server.address(), "r1", Moment.MAY_SEND);
            assertEquals(List.of("may send"), toldInTheEnd(receiver));
            assertEquals(0, server.requests());
        }
    }

    // Guards against a receiver that hears of its answer although it has cancelled the call when it
    // was told that this is sent.
    @Test
    void callCancelledWhenItIsSentDeliversNothing() throws Exception {
        try (RawServer server = new RawServer(n -> RawServer.ok("a"), true)) {
            Receiver receiver = start(server.address(), "r1", Moment.SENT);
            assertEquals(List.of("may send", "sent"), toldInTheEnd(receiver));
        }
    }

    // Guards against a receiver that hears of late answers to other calls after its cancellation,
    // when they are received together with the one before it.
    @Test
    void noSkippedAnswerIsReportedAfterCancel() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String late = answer(404, "late-1") + answer(410, "late-2") + answer(200, "r2");
            Thread server = new Thread(() -> answerInTurn(listener, answer(200, "r1"), late));
            server.setDaemon(true);
            server.start();
            InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
            Receiver first = start(address, "r1", Moment.BY_THE_TEST);
            LoopbackFixture.eventually(() -> first.told.contains("completed"));
            Receiver second = start(address, "r2", Moment.ANSWER_SKIPPED);
            assertEquals(List.of("may send", "sent", "skipped 404"), toldInTheEnd(second));
        }
    }

    private static String answer(int status, String name) {
        String head = "HTTP/1.1 " + status + " Status\r\nrequest-id: " + name + "\r\n";
        return head + "content-length: 0\r\n\r\n";
    }

    /** Accepts one connection and answers its requests. */
    private static void answerInTurn(ServerSocket listener, String... answers) {
        try (Socket socket = listener.accept()) {
            for (String answer : answers) {
                RawServer.readRequest(socket.getInputStream());
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
            RawServer.readRequest(socket.getInputStream());
        } catch (IOException closed) {
            return;
        }
    }
}
