package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls that may no longer be sent when they get their connection. */
class WithdrawnCallTest {
    private static final int BACKLOG = 1;
    private static final int READ_TIMEOUT_MILLIS = 500;

    private final LoopbackFixture loopback = new LoopbackFixture();
    private final AtomicBoolean allowed = new AtomicBoolean(true);

    @AfterEach
    void close() throws Exception {
        loopback.close();
    }

    /** Collects the answer to a call that is sent only while calls are allowed. */
    private final class Receiver implements HttpReceiver {
        private final CompletableFuture<Integer> status = new CompletableFuture<>();
        private boolean firstOnConnection;

        @Override
        public boolean maySend() {
            return allowed.get();
        }

        @Override
        public void onSent(CallPosition position) {
            firstOnConnection = position.isFirst();
        }

        @Override
        public void onHead(int code, Map<String, String> headers) {
            status.complete(code);
        }

        @Override
        public void onData(byte[] part) {}

        @Override
        public void onCompleted() {}

        @Override
        public void onFailed(HttpFailure failure) {
            status.completeExceptionally(failure);
        }
    }

    private Receiver start(InetSocketAddress address) {
        Receiver receiver = new Receiver();
        HttpCall call = HttpCall.get("/a", LoopbackFixture.LONG_TIMEOUT, ConnectionUse.POOLED);
        loopback.connections.start(address, call, receiver);
        return receiver;
    }

    private static HttpFailure.Kind failureOf(Receiver receiver) {
        Throwable failure = LoopbackFixture.awaitFailure(receiver.status);
        return assertInstanceOf(HttpFailure.class, failure).kind();
    }

    // Guards against a call that waits for its connection, here since the listener's queue is full,
    // and is sent although it was forbidden meanwhile.
    @Test
    void callThatIsForbiddenWhileItWaitsForItsConnectionIsNotSent() throws Exception {
        try (ServerSocket listener =
                new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
            List<Socket> queued = new ArrayList<>();
            for (int count = 0; count <= BACKLOG; count++) {
                queued.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
            }
            Receiver receiver = start(address);
            Thread.sleep(READ_TIMEOUT_MILLIS);
            assertFalse(receiver.status.isDone());
            allowed.set(false);
            for (Socket each : queued) {
                listener.accept().close();
                each.close();
            }
            assertEquals(HttpFailure.Kind.WITHDRAWN, failureOf(receiver));
            try (Socket connection = listener.accept()) {
                connection.setSoTimeout(READ_TIMEOUT_MILLIS);
                assertEquals(0, bytesReceived(connection));
            }
        }
    }

    private static int bytesReceived(Socket connection) throws IOException {
        InputStream input = connection.getInputStream();
        int count = 0;
        try {
            while (input.read() >= 0) {
                count++;
            }
        } catch (java.net.SocketTimeoutException silent) {
            return count;
        }
        return count;
    }

    // Guards against connections that are closed, or never used again, because a call on them was
    // withdrawn.
    @Test
    void connectionOfAWithdrawnCallIsUsedForTheNextOne() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread server = new Thread(() -> acceptAndAnswer(listener, connections));
            server.setDaemon(true);
            server.start();
            InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
            allowed.set(false);
            assertEquals(HttpFailure.Kind.WITHDRAWN, failureOf(start(address)));
            allowed.set(true);
            Receiver next = start(address);
            assertEquals(200, LoopbackFixture.await(next.status));
            assertEquals(true, next.firstOnConnection);
            assertEquals(1, connections.get());
        }
    }

    private static void acceptAndAnswer(ServerSocket listener, AtomicInteger connections) {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                Thread reader = new Thread(() -> answer(socket));
                reader.setDaemon(true);
                reader.start();
            }
        } catch (IOException closed) {
            return;
        }
    }

    private static void answer(Socket socket) {
        try (socket) {
            while (socket.getInputStream().read() != '\n') {
                continue;
            }
            socket.getOutputStream().write(RawServer.ok("done"));
            bytesReceived(socket);
        } catch (IOException closed) {
            return;
        }
    }
}
