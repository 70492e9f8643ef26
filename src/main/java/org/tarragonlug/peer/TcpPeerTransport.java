package org.tarragonlug.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.InstanceId;

/**
 * Peer transport over TCP. A frame is a 4-byte length followed by a MessagePack map.
 *
 * <p>Netty is used directly, because ServiceTalk, which depends on it, has no public API for plain
 * TCP. One thread serves all connections, because messages are small and few. A connection is
 * opened for the first message to a peer and closed when it is idle, so that probing random peers
 * does not keep hundreds of connections open. A message to a peer without an open outgoing
 * connection is sent on the connection that the peer has opened, if there is one.
 *
 * <p>Limits: a message that was written to a connection is lost without an error if the connection
 * then breaks, and messages to one peer may be reordered when its connection is replaced. All
 * receivers tolerate both.
 */
public final class TcpPeerTransport implements PeerTransport {
    private static final Logger LOG = Logger.getLogger(TcpPeerTransport.class);
    private static final int LENGTH_BYTES = 4;
    private static final int CHECKS_PER_PING = 2;
    private static final int HIGH_WATER_BYTES = 256 * 1024;
    private static final int LOW_WATER_BYTES = 64 * 1024;
    private static final int MAX_QUEUED_TASKS = 10_000;
    private static final int MAX_UNUSED_LINKS = 2_048;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final PeerTransportSettings settings;
    private final PeerListener listener;
    private final RandomGenerator random;
    private final PeerCodec codec;
    private final PeerCounters counters = new PeerCounters();
    private final PeerThreads threads;
    private final EventLoopGroup group;
    private final Channel server;
    private final Map<InstanceId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<InstanceId, PeerConnection> incoming = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, PeerLink> links = new HashMap<>();
    private final Set<PeerConnection> connections = new HashSet<>();
    private final Future<?> connectionCheck;
    private final AtomicInteger queuedTasks = new AtomicInteger();
    private volatile boolean closed;

    /**
     * Creates the transport and starts to listen.
     *
     * @param settings names, addresses and limits
     * @param listener receives the messages on the thread of the transport; must not block
     * @param random source of the jitter of the waits between connection attempts
     * @param threads thread on which the transport runs
     * @throws TarragonlugException {@code ADDRESS_IN_USE} if the address cannot be bound
     */
    public TcpPeerTransport(
            PeerTransportSettings settings,
            PeerListener listener,
            RandomGenerator random,
            PeerThreads threads)
            throws TarragonlugException {
        this.settings = settings;
        this.listener = listener;
        this.random = random;
        this.codec = new PeerCodec(settings.process());
        this.threads = threads;
        this.group = threads.group();
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(threads.serverChannel())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .childHandler(new Initializer(Optional.empty()))
                        .bind(settings.listen())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            threads.close(0);
            throw new TarragonlugException(
                    ErrorCode.ADDRESS_IN_USE, "address=" + settings.listen(), bound.cause());
        }
        this.server = bound.channel();
        long period = Math.max(1, settings.pingAfter().toMillis() / CHECKS_PER_PING);
        this.connectionCheck =
                group.scheduleAtFixedRate(
                        this::checkConnections, period, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Checks the timeouts of all connections. One timer serves all of them, because the holder of
     * an order lease has a connection to each instance.
     */
    private void checkConnections() {
        for (PeerConnection connection : List.copyOf(connections)) {
            connection.checkTimeouts();
        }
    }

    /** Returns the address on which the transport listens, with the port that was chosen. */
    public InetSocketAddress listenAddress() {
        return (InetSocketAddress) server.localAddress();
    }

    @Override
    public boolean send(InstanceId to, PeerMessage message) {
        InetSocketAddress address = addresses.get(to);
        if (address == null && !incoming.containsKey(to)) {
            counters.dropped.increment();
            return false;
        }
        encodeAndExecute(message, frame -> sendOnLoop(to, address, frame));
        return true;
    }

    @Override
    public void send(InetSocketAddress to, PeerMessage message) {
        encodeAndExecute(message, frame -> link(to).send(frame));
    }

    private void sendOnLoop(InstanceId to, InetSocketAddress address, byte[] frame) {
        PeerConnection incomingConnection = incoming.get(to);
        boolean outgoingConnected =
                address != null && links.containsKey(address) && link(address).isConnected();
        if (!outgoingConnected && incomingConnection != null && incomingConnection.isWritable()) {
            counters.sent.increment();
            incomingConnection.write(frame);
        } else if (address != null) {
            link(address).send(frame);
        } else {
            counters.dropped.increment();
        }
    }

    private void encodeAndExecute(PeerMessage message, Consumer<byte[]> task) {
        byte[] frame = codec.encode(message);
        if (closed
                || frame.length > PeerTransportSettings.MAXIMUM_FRAME_BYTES
                || queuedTasks.get() >= MAX_QUEUED_TASKS) {
            counters.dropped.increment();
            return;
        }
        queuedTasks.incrementAndGet();
        try {
            group.execute(
                    () -> {
                        queuedTasks.decrementAndGet();
                        task.accept(frame);
                    });
        } catch (RejectedExecutionException e) {
            LOG.debugf("event=send_after_close peer_transport=%s", settings.instance());
            counters.dropped.increment();
        }
    }

    private PeerLink link(InetSocketAddress address) {
        if (links.size() > MAX_UNUSED_LINKS) {
            links.values().removeIf(PeerLink::isUnused);
        }
        return links.computeIfAbsent(
                address, key -> new PeerLink(key, settings, counters, new LoopConnector(), random));
    }

    @Override
    public void setAddress(InstanceId instance, InetSocketAddress address) {
        addresses.put(instance, address);
    }

    @Override
    public Optional<InetSocketAddress> address(InstanceId instance) {
        return Optional.ofNullable(addresses.get(instance));
    }

    @Override
    public PeerTransportCounts counts() {
        return counters.snapshot();
    }

    @Override
    public void close() {
        closed = true;
        connectionCheck.cancel(false);
        server.close();
        try {
            group.execute(this::closeConnections);
        } catch (RejectedExecutionException e) {
            LOG.debugf("event=closed_twice peer_transport=%s", settings.instance());
        }
        threads.close(STOP_TIMEOUT_MILLIS);
    }

    private void closeConnections() {
        links.values().forEach(PeerLink::close);
        List.copyOf(connections).forEach(PeerConnection::close);
    }

    private static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES);
    }

    private void connect(PeerLink link) {
        new Bootstrap()
                .group(group)
                .channel(threads.channel())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) settings.handshakeLimit().toMillis())
                .handler(new Initializer(Optional.of(link)))
                .connect(link.address())
                .addListener(
                        result -> {
                            if (!result.isSuccess()) {
                                link.onConnectionLost();
                            }
                        });
    }

    /** Opens connections and schedules tasks for the links, on the event loop. */
    private final class LoopConnector implements PeerLink.Connector {
        @Override
        public void connect(PeerLink link) {
            TcpPeerTransport.this.connect(link);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            if (!group.isShuttingDown()) {
                group.schedule(task, delay, unit);
            }
        }
    }

    /** Sets up the handlers of a new connection, which is outgoing if a link is given. */
    private final class Initializer extends ChannelInitializer<Channel> {
        private final Optional<PeerLink> link;

        Initializer(Optional<PeerLink> link) {
            this.link = link;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(
                            new LengthFieldBasedFrameDecoder(
                                    PeerTransportSettings.MAXIMUM_FRAME_BYTES + LENGTH_BYTES,
                                    0,
                                    LENGTH_BYTES,
                                    0,
                                    LENGTH_BYTES))
                    .addLast(
                            new PeerConnection(
                                    settings, codec, counters, new ConnectionListener(link)));
        }
    }

    /** Passes the events of a connection to its link or to the map of incoming connections. */
    private final class ConnectionListener implements PeerConnection.Listener {
        private final Optional<PeerLink> link;
        private boolean opened;

        ConnectionListener(Optional<PeerLink> link) {
            this.link = link;
        }

        @Override
        public void onActive(PeerConnection connection) {
            connections.add(connection);
        }

        @Override
        public void onIdentified(PeerConnection connection, PeerIdentity peer) {
            if (link.isEmpty()) {
                incoming.put(peer.instance(), connection);
                setAdvertisedAddress(peer);
                return;
            }
            link.get().onIdentified();
            InetSocketAddress address = link.get().address();
            // If an instance has been replaced by another one at the same address, the old entry is
            // removed, so that messages to the old instance are not sent to the new one.
            addresses.values().removeIf(address::equals);
            addresses.put(peer.instance(), address);
        }

        private void setAdvertisedAddress(PeerIdentity peer) {
            PeerAddresses.parse(peer.address())
                    .ifPresent(address -> addresses.put(peer.instance(), address));
        }

        @Override
        public void onMessage(PeerIdentity from, PeerMessage message) {
            try {
                listener.onMessage(from, message);
            } catch (RuntimeException e) {
                LOG.errorf(e, "event=peer_listener_failed instance=%s", from.instance());
            }
        }

        @Override
        public void onRejected(PeerConnection connection, TarragonlugException reason) {
            listener.onConnectionRejected(connection.remoteAddress(), reason);
        }

        @Override
        public void onWritable(PeerConnection connection) {
            if (link.isEmpty()) {
                return;
            }
            if (opened) {
                link.get().flush();
            } else {
                opened = true;
                link.get().onOpened(connection);
            }
        }

        @Override
        public void onClosed(PeerConnection connection) {
            connections.remove(connection);
            connection.peer().ifPresent(peer -> incoming.remove(peer.instance(), connection));
            if (opened) {
                link.ifPresent(PeerLink::onConnectionLost);
            }
        }
    }
}
