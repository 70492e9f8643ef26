package org.tarragonlug.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.transport.api.IoExecutor;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.TestSeeds;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

@Timeout(60)
class TcpPeerTransportTest {
    private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(10);

    private final List<AutoCloseable> open = new ArrayList<>();

    /** Records the messages and rejections that a transport passes to its listener. */
    private static final class Inbox implements PeerListener {
        final List<String> items = new CopyOnWriteArrayList<>();
        final List<TarragonlugException> rejections = new CopyOnWriteArrayList<>();

        @Override
        public void onMessage(PeerIdentity from, PeerMessage message) {
            if (message instanceof PeerMessage.DecisionHandover handover) {
                items.add(handover.item());
            }
        }

        @Override
        public void onConnectionRejected(String remoteAddress, TarragonlugException reason) {
            rejections.add(reason);
        }
    }

    private static PeerTransportSettings settings(String name, String deployment, int port) {
        return new PeerTransportSettings(
                deployment,
                new InstanceId(name),
                new ProcessId(name + "-process"),
                new InetSocketAddress("127.0.0.1", port),
                "",
                16,
                Duration.ofMillis(100),
                Duration.ofMillis(300),
                Duration.ofSeconds(5),
                Duration.ofMillis(500),
                Duration.ofMillis(20),
                Duration.ofMillis(2_000));
    }

    private TcpPeerTransport start(String name, String deployment, int port, Inbox inbox)
            throws TarragonlugException {
        PeerTransportSettings settings = settings(name, deployment, port);
        TcpPeerTransport transport =
                new TcpPeerTransport(
                        settings, inbox, new SplittableRandom(1), PeerThreads.dedicated());
        open.add(transport);
        return transport;
    }

    private TcpPeerTransport start(String name, Inbox inbox) throws TarragonlugException {
        return start(name, "test", 0, inbox);
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable closeable : open) {
            closeable.close();
        }
    }

    private static PeerMessage message(String item) {
        return new PeerMessage.DecisionHandover(1, item, 1);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + WAIT_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "the condition did not hold in time");
            Thread.sleep(5);
        }
    }

    private static Socket connect(TcpPeerTransport to) throws IOException {
        return new Socket("127.0.0.1", to.listenAddress().getPort());
    }

    private static byte[] hello(String deployment) {
        return new PeerCodec(new ProcessId("x"))
                .encode(
                        new PeerFrame.Hello(
                                PeerFrame.Hello.MAGIC,
                                deployment,
                                new PeerIdentity(new InstanceId("x"), new ProcessId("x"), ""),
                                1));
    }

    private static void writeFrame(Socket socket, byte[] frame) throws IOException {
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        output.writeInt(frame.length);
        output.write(frame);
        output.flush();
    }

    /** Tests of a transport that shares the event loop of its process. */
    @Nested
    class SharedLoop {
        /**
         * Guards against a transport that shuts the shared event loop down when it is closed, which
         * would stop all requests of the process.
         */
        @Test
        void sharedEventLoopRunsOnAfterTransportIsClosed() throws Exception {
            IoExecutor executor = IoThreads.create(1);
            Inbox inbox = new Inbox();
            TcpPeerTransport other = start("other", inbox);
            PeerThreads shared = PeerThreads.shared(IoThreads.eventLoops(executor));
            TcpPeerTransport transport =
                    new TcpPeerTransport(
                            settings("shared", "test", 0),
                            new Inbox(),
                            new SplittableRandom(1),
                            shared);
            transport.send(other.listenAddress(), message("m"));
            await(() -> inbox.items.contains("m"));
            transport.close();
            AtomicBoolean ran = new AtomicBoolean();
            IoThreads.timers(executor).execute(() -> ran.set(true));
            await(ran::get);
            executor.closeAsync().toFuture().get();
        }
    }

    @Nested
    class Delivery {
        /** Guards against lost or reordered messages on a healthy connection. */
        @Test
        void messagesArriveInOrderAndAnswersComeBack() throws Exception {
            Inbox inboxA = new Inbox();
            Inbox inboxB = new Inbox();
            TcpPeerTransport a = start("a", inboxA);
            TcpPeerTransport b = start("b", inboxB);
            a.setAddress(new InstanceId("b"), b.listenAddress());
            for (int index = 0; index < 10; index++) {
                assertTrue(a.send(new InstanceId("b"), message("m" + index)));
            }
            await(() -> inboxB.items.size() == 10);
            assertEquals("m0", inboxB.items.get(0));
            assertEquals("m9", inboxB.items.get(9));
            assertTrue(b.send(new InstanceId("a"), message("back")));
            await(() -> inboxA.items.contains("back"));
            assertFalse(a.send(new InstanceId("unknown"), message("m")));
        }

        /**
         * Guards against a peer that stays unreachable after its restart, because messages are
         * still sent to its closed connection or no new connection is opened.
         */
        @Test
        void peerIsReachableAfterEachOfTwoRestarts() throws Exception {
            TcpPeerTransport a = start("a", new Inbox());
            TcpPeerTransport b = start("b", new Inbox());
            InetSocketAddress address = b.listenAddress();
            a.setAddress(new InstanceId("b"), address);
            for (int restart = 0; restart < 2; restart++) {
                b.close();
                Inbox inbox = new Inbox();
                b = start("b", "test", address.getPort(), inbox);
                await(
                        () -> {
                            a.send(new InstanceId("b"), message("again"));
                            return !inbox.items.isEmpty();
                        });
            }
        }

        /** Guards against memory that grows with each message to an unreachable peer. */
        @Test
        void bufferOfUnreachablePeerIsBounded() throws Exception {
            TcpPeerTransport a = start("a", new Inbox());
            TcpPeerTransport stopped = start("gone", new Inbox());
            InetSocketAddress address = stopped.listenAddress();
            stopped.close();
            for (int index = 0; index < 100; index++) {
                a.send(address, message("m" + index));
            }
            await(() -> a.counts().dropped() >= 100 - 16);
        }

        /** Guards against an oversized message that makes the receiver close the connection. */
        @Test
        void messageAboveSizeLimitIsDroppedBySender() throws Exception {
            TcpPeerTransport a = start("a", new Inbox());
            a.send(a.listenAddress(), message("x".repeat(2 << 20)));
            assertEquals(1, a.counts().dropped());
        }

        /** Guards against an untyped exception when the address cannot be bound. */
        @Test
        void addressInUseGivesTypedError() throws Exception {
            int port = start("a", new Inbox()).listenAddress().getPort();
            TarragonlugException error =
                    assertThrows(
                            TarragonlugException.class,
                            () -> start("b", "test", port, new Inbox()));
            assertEquals(ErrorCode.ADDRESS_IN_USE, error.code());
        }
    }

    @Nested
    class Silence {
        /**
         * Guards against messages that are lost forever, because they are sent on an open
         * connection from which no data arrives any more.
         */
        @Test
        void silentConnectionIsReplaced() throws Exception {
            Inbox inbox = new Inbox();
            TcpPeerTransport a = start("a", new Inbox());
            TcpPeerTransport b = start("b", inbox);
            try (SilentRelay relay = new SilentRelay(b.listenAddress())) {
                a.send(relay.address(), message("first"));
                await(() -> inbox.items.contains("first"));
                // Before the Hello frame of the peer has arrived, silence would count as a failed
                // handshake instead.
                await(() -> a.counts().bytesReceived() > 0);
                relay.silenceOpenConnections();
                a.send(relay.address(), message("lost"));
                await(() -> a.counts().silent() == 1);
                await(
                        () -> {
                            a.send(relay.address(), message("after"));
                            return inbox.items.contains("after");
                        });
                assertFalse(inbox.items.contains("lost"));
            }
        }

        /**
         * Guards against a connection that is kept forever although no Hello frame ever arrives.
         */
        @Test
        void connectionSilentDuringHandshakeIsReplaced() throws Exception {
            Inbox inbox = new Inbox();
            TcpPeerTransport a = start("a", new Inbox());
            TcpPeerTransport b = start("b", inbox);
            try (SilentRelay relay = new SilentRelay(b.listenAddress())) {
                relay.silenceNewConnections(true);
                a.send(relay.address(), message("lost"));
                await(() -> relay.connections() == 1);
                relay.silenceNewConnections(false);
                await(
                        () -> {
                            a.send(relay.address(), message("after"));
                            return inbox.items.contains("after");
                        });
                assertEquals(0, a.counts().silent());
            }
        }
    }

    @Nested
    class BrokenConnections {
        // Guards against a relayed write or an order that is made twice, because its frame is sent
        // on a broken connection and once more on the next one.
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void noMessageArrivesTwice(long seed) throws Exception {
            SplittableRandom random = new SplittableRandom(seed);
            Inbox inbox = new Inbox();
            TcpPeerTransport a = start("a", new Inbox());
            TcpPeerTransport b = start("b", inbox);
            try (SilentRelay relay = new SilentRelay(b.listenAddress())) {
                for (int number = 0; number < 2000; number++) {
                    a.send(relay.address(), message("m" + number));
                    if (random.nextInt(100) == 0) {
                        relay.closeOpenConnections();
                    } else if (random.nextInt(300) == 0) {
                        relay.silenceOpenConnections();
                    }
                    if (random.nextInt(4) == 0) {
                        Thread.sleep(random.nextInt(3));
                    }
                }
                await(
                        () -> {
                            a.send(relay.address(), message("last"));
                            return inbox.items.contains("last");
                        });
                assertTrue(relay.connections() > 3, relay.connections() + " connections");
            }
            List<String> numbered =
                    inbox.items.stream().filter(item -> item.startsWith("m")).toList();
            assertTrue(numbered.size() > 100, numbered.size() + " messages");
            assertEquals(Set.copyOf(numbered).size(), numbered.size());
        }
    }

    @Nested
    class ForeignFrames {
        private void assertRejected(byte[] firstBytes) throws Exception {
            Inbox inbox = new Inbox();
            TcpPeerTransport transport = start("t", inbox);
            try (Socket socket = connect(transport)) {
                socket.getOutputStream().write(firstBytes);
                socket.getOutputStream().flush();
                await(() -> inbox.rejections.size() == 1);
                assertEquals(ErrorCode.PEER_FRAME_INVALID, inbox.rejections.get(0).code());
                assertEquals(1, transport.counts().rejected());
            }
        }

        private byte[] framed(byte[] frame) {
            return java.nio.ByteBuffer.allocate(4 + frame.length)
                    .putInt(frame.length)
                    .put(frame)
                    .array();
        }

        /** Guards against an HTTP client whose first four bytes are read as a length of 1 GB. */
        @Test
        void connectionOfHttpClientIsRejected() throws Exception {
            assertRejected("GET / HTTP/1.1\r\n\r\n".getBytes());
        }

        /**
         * Guards against two deployments that exchange messages, because an address of one is
         * configured in the other.
         */
        @Test
        void connectionFromOtherDeploymentIsRejected() throws Exception {
            assertRejected(framed(hello("other")));
        }

        /**
         * Guards against messages that are accepted from a sender that has not identified itself.
         */
        @Test
        void messageBeforeHelloIsRejected() throws Exception {
            assertRejected(framed(new PeerCodec(new ProcessId("x")).encode(message("m"))));
        }

        /** Guards against connections that a client keeps open without sending a frame. */
        @Test
        void clientThatSendsNothingIsDisconnected() throws Exception {
            TcpPeerTransport transport = start("t", new Inbox());
            try (Socket socket = connect(transport)) {
                socket.setSoTimeout((int) WAIT_TIMEOUT.toMillis());
                while (socket.getInputStream().read() >= 0) {
                    continue;
                }
            }
        }
    }

    @Nested
    class Fuzz {
        /**
         * Guards against a transport that fails or hangs after random or mutated frames. A healthy
         * peer must still be able to send a message afterwards.
         */
        @Test
        void transportSurvivesRandomFrames() {
            TestSeeds.forEach(2, this::sendRandomFrames);
        }

        private void sendRandomFrames(long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            Inbox inbox = new Inbox();
            try {
                TcpPeerTransport target = start("target" + seed, inbox);
                for (int connection = 0; connection < 60; connection++) {
                    sendDamagedFrames(target, random);
                }
                TcpPeerTransport healthy = start("healthy" + seed, new Inbox());
                healthy.send(target.listenAddress(), message("still alive"));
                await(() -> inbox.items.contains("still alive"));
                assertTrue(target.counts().rejected() > 0);
            } catch (IOException | TarragonlugException | InterruptedException e) {
                throw new AssertionError(e);
            }
        }

        private void sendDamagedFrames(TcpPeerTransport target, SplittableRandom random)
                throws IOException {
            try (Socket socket = connect(target)) {
                if (random.nextInt(3) > 0) {
                    writeFrame(socket, hello("test"));
                }
                for (int frame = random.nextInt(5); frame >= 0; frame--) {
                    byte[] bytes = mutated(random);
                    if (random.nextInt(8) == 0) {
                        socket.getOutputStream().write(bytes);
                    } else {
                        writeFrame(socket, bytes);
                    }
                }
            } catch (IOException e) {
                // The transport may have closed the connection at any byte.
                assertTrue(target.listenAddress() != null);
            }
        }

        private byte[] mutated(SplittableRandom random) {
            List<PeerMessage> samples = PeerCodecTest.samples();
            byte[] frame =
                    new PeerCodec(new ProcessId("x"))
                            .encode(samples.get(random.nextInt(samples.size())));
            if (random.nextInt(4) == 0) {
                random.nextBytes(frame);
            }
            for (int change = random.nextInt(6); change > 0; change--) {
                frame[random.nextInt(frame.length)] = (byte) random.nextInt();
            }
            return frame;
        }
    }
}
