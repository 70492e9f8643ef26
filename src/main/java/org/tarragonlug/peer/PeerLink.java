package org.tarragonlug.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * What is to be sent to one peer address: a bounded buffer and at most one outgoing connection.
 * Used on the event loop only.
 */
final class PeerLink {
    /** Opens connections and runs tasks later, on the event loop. */
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

    /** Tells whether the link holds nothing worth keeping. */
    boolean isUnused() {
        return waitingFrames.isEmpty() && connection.isEmpty() && !connecting;
    }

    /** Sends a frame, or buffers it until the connection can take it. */
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

    /** The connection was opened and can take frames. */
    void onOpened(PeerConnection opened) {
        connecting = false;
        connection = Optional.of(opened);
        flush();
    }

    /** The peer accepted the connection, so the next failure starts with the shortest wait. */
    void onIdentified() {
        backoff = settings.shortestBackoff();
    }

    void flush() {
        while (!waitingFrames.isEmpty() && connection.filter(PeerConnection::isWritable).isPresent()) {
            counters.sent.increment();
            connection.get().write(waitingFrames.removeFirst());
        }
    }

    /** The connection is gone or could not be opened. */
    void onConnectionLost() {
        connection = Optional.empty();
        if (closed) {
            return;
        }
        connecting = true;
        if (backoff.equals(settings.longestBackoff())) {
            // Frames that waited this long would only be stale on arrival.
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
