package org.tarragonlug.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The sending side towards one peer address: a bounded buffer of frames and at most one outgoing
 * connection. Used on the event loop only.
 */
final class PeerLink {
    /** Opens connections and schedules tasks, on the event loop. */
    interface Connector {
        void connect(PeerLink link);

        void schedule(Runnable task, long delay, TimeUnit unit);
    }

    private static final int BACKOFF_FACTOR = 2;

    private final InetSocketAddress address;
    private final PeerTransportSettings settings;
    private final PeerCounters counters;
    private final Connector connector;
    private final RandomGenerator random;
    private final Deque<byte[]> waitingFrames = new ArrayDeque<>();
    private Optional<PeerConnection> connection = Optional.empty();
    private boolean connecting;
    private boolean closed;
    private Duration backoff;

    PeerLink(
            InetSocketAddress address,
            PeerTransportSettings settings,
            PeerCounters counters,
            Connector connector,
            RandomGenerator random) {
        this.address = address;
        this.settings = settings;
        this.counters = counters;
        this.connector = connector;
        this.random = random;
        this.backoff = settings.shortestBackoff();
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isConnected() {
        return connection.isPresent();
    }

    /** Tells whether the link has no waiting frames and no open or starting connection. */
    boolean isUnused() {
        return waitingFrames.isEmpty() && connection.isEmpty() && !connecting;
    }

    /**
     * Buffers a frame and sends it as soon as the connection can accept it. If the buffer is full,
     * its oldest frame is dropped.
     */
    void send(byte[] frame) {
        if (closed) {
            counters.dropped.increment();
            return;
        }
        waitingFrames.addLast(frame);
        if (waitingFrames.size() > settings.bufferedFrames()) {
            waitingFrames.removeFirst();
            counters.dropped.increment();
        }
        if (connection.isPresent()) {
            flush();
        } else {
            connect();
        }
    }

    private void connect() {
        if (!connecting && !closed) {
            connecting = true;
            connector.connect(this);
        }
    }

    /** Called when the connection has been opened and can accept frames. */
    void onOpened(PeerConnection opened) {
        connecting = false;
        connection = Optional.of(opened);
        flush();
    }

    /**
     * Called when the first frame of the peer was accepted. The wait after the next failure starts
     * with the shortest backoff again.
     */
    void onIdentified() {
        backoff = settings.shortestBackoff();
    }

    void flush() {
        while (!waitingFrames.isEmpty()
                && connection.filter(PeerConnection::isWritable).isPresent()) {
            counters.sent.increment();
            connection.get().write(waitingFrames.removeFirst());
        }
    }

    /** Called when the connection has been closed or could not be opened. */
    void onConnectionLost() {
        connection = Optional.empty();
        if (closed) {
            return;
        }
        connecting = true;
        if (backoff.equals(settings.longestBackoff())) {
            // Frames that have waited this long would be outdated on arrival.
            counters.dropped.add(waitingFrames.size());
            waitingFrames.clear();
        }
        long longest = Math.max(1, backoff.toMillis());
        long delay = longest / 2 + random.nextLong(longest / 2 + 1);
        Duration doubled = backoff.multipliedBy(BACKOFF_FACTOR);
        Duration limit = settings.longestBackoff();
        backoff = doubled.compareTo(limit) > 0 ? limit : doubled;
        connector.schedule(this::retry, delay, TimeUnit.MILLISECONDS);
    }

    private void retry() {
        connecting = false;
        if (!waitingFrames.isEmpty()) {
            connect();
        }
    }

    void close() {
        closed = true;
        counters.dropped.add(waitingFrames.size());
        waitingFrames.clear();
        connection.ifPresent(PeerConnection::close);
    }
}
