package org.tarragonlug.measure;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.peer.PeerMessage;

/**
 * Bytes that each member sends, as on the wire: the encoded message, its length, and the headers of
 * IP and TCP; an acknowledgement by TCP for each message, though many travel with answers; and a
 * connection's opening, first frames and closing, when the pair was idle for long.
 */
final class NetworkTraffic {
    private static final int LENGTH_BYTES = 4;

    /** IPv4 and TCP headers with timestamps, bytes. */
    private static final int SEGMENT_BYTES = 52;

    /** Segments with which one side opens and closes a connection. */
    private static final int CONNECTION_SEGMENTS = 4;

    /**
     * A first frame, bytes. PeerCodec gives 186 with ids of usual length, so a member that opens
     * two connections a second sends about 72 bytes a second more than is counted here.
     */
    private static final int FIRST_FRAME_BYTES = 150;

    private static final long IDLE_TIMEOUT_MICROS = 60_000_000L;
    private static final long SECOND_MICROS = 1_000_000L;

    private final MessageSizes sizes = new MessageSizes();
    private final Map<Long, Long> lastUseMicros = new HashMap<>();
    private final long[] bytesInSecond;
    private long second = -1;
    private long totalBytes;
    private long maximumBytesPerSecond;

    NetworkTraffic(int members) {
        this.bytesInSecond = new long[members];
    }

    void countMessage(int from, int to, PeerMessage message, long micros) {
        advanceTo(micros / SECOND_MICROS);
        add(from, LENGTH_BYTES + sizes.encodedBytes(message) + SEGMENT_BYTES);
        add(to, SEGMENT_BYTES);
        long pair = (long) Math.min(from, to) * bytesInSecond.length + Math.max(from, to);
        Long used = lastUseMicros.put(pair, micros);
        if (used == null || micros - used > IDLE_TIMEOUT_MICROS) {
            int opening = CONNECTION_SEGMENTS * SEGMENT_BYTES + FIRST_FRAME_BYTES;
            add(from, opening);
            add(to, opening);
        }
    }

    private void add(int member, long bytes) {
        totalBytes += bytes;
        bytesInSecond[member] += bytes;
    }

    private void advanceTo(long newSecond) {
        if (newSecond == second) {
            return;
        }
        second = newSecond;
        for (int index = 0; index < bytesInSecond.length; index++) {
            maximumBytesPerSecond = Math.max(maximumBytesPerSecond, bytesInSecond[index]);
            bytesInSecond[index] = 0;
        }
    }

    /** Starts to count anew. */
    void reset() {
        totalBytes = 0;
        maximumBytesPerSecond = 0;
        Arrays.fill(bytesInSecond, 0);
    }

    /** Returns bytes sent a second by a member on average. */
    long meanBytesPerSecond(long micros) {
        return totalBytes * SECOND_MICROS / Math.max(1, micros) / bytesInSecond.length;
    }

    /** Returns the most bytes any member sent in one second. */
    long maximumBytesPerSecond() {
        return maximumBytesPerSecond;
    }
}
