package org.tarragonlug.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * Settings of a peer transport.
 *
 * @param deployment name that all processes of one deployment share
 * @param instance the own instance
 * @param process the own process
 * @param listen where to listen
 * @param advertised how peers reach this process, {@code host:port}
 * @param bufferedFrames most frames waiting for one peer; the oldest is dropped beyond that
 * @param pingAfter how long after a write nothing may arrive before a ping is sent
 * @param silentLimit how long after a write nothing may arrive before the connection is replaced
 * @param idleLimit how long an unused connection stays open
 * @param handshakeLimit how long connecting and the first frame may take
 * @param shortestBackoff wait after the first failed connection attempt
 * @param longestBackoff longest wait between connection attempts
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
    /** Largest frame accepted or sent, without its length, bytes. */
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
