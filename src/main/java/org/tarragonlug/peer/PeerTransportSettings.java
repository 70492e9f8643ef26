package org.tarragonlug.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * Settings of a peer transport.
 *
 * @param deployment name that all processes of one deployment share
 * @param instance instance to which this process belongs
 * @param process id of this process
 * @param listen address on which the transport listens
 * @param advertised address at which peers reach this process, {@code host:port}
 * @param bufferedFrames maximum number of frames that wait for one peer; beyond it the oldest frame
 *     is dropped
 * @param pingAfter time without received data after a write, after which a ping is sent
 * @param silentLimit time without received data after a write, after which the connection is closed
 * @param idleLimit time after which an unused connection is closed
 * @param handshakeLimit longest time for opening a connection, and for the first frame of the peer
 * @param shortestBackoff longest wait after the first failed connection attempt; the wait is at
 *     least half of it
 * @param longestBackoff upper limit of the wait, which doubles with each failed connection attempt
 */
public record PeerTransportSettings(
        String deployment,
        InstanceId instance,
        ProcessId process,
        InetSocketAddress listen,
        String advertised,
        int bufferedFrames,
        Duration pingAfter,
        Duration silentLimit,
        Duration idleLimit,
        Duration handshakeLimit,
        Duration shortestBackoff,
        Duration longestBackoff) {
    /** Size of the largest frame that is accepted or sent, in bytes without the length prefix. */
    public static final int MAXIMUM_FRAME_BYTES = 1 << 20;

    /** Returns settings with the default times and sizes. */
    public static PeerTransportSettings of(
            String deployment,
            InstanceId instance,
            ProcessId process,
            InetSocketAddress listen,
            String advertised) {
        return new PeerTransportSettings(
                deployment,
                instance,
                process,
                listen,
                advertised,
                256,
                Duration.ofMillis(500),
                Duration.ofMillis(1500),
                Duration.ofSeconds(60),
                Duration.ofSeconds(3),
                Duration.ofMillis(100),
                Duration.ofSeconds(5));
    }
}
