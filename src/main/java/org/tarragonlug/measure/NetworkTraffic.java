package org.tarragonlug.measure;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.peer.PeerMessage;

/**
 * Counts the bytes that each member sends on the wire: the encoded message, its length prefix and
 * the IP and TCP headers. Each message also counts a TCP acknowledgement, although in practice many
 * acknowledgements are carried by responses. A message between members that were idle for more than
 * a minute also counts the opening, the first frames and the closing of a connection.
 */
final class NetworkTraffic {
    private static final int LENGTH_BYTES = 4;

    /** Size of the IPv4 and TCP headers with the timestamp option. */
    private static final int SEGMENT_BYTES = 52;

    /** Segments that one side sends to open and close a connection. */
    private static final int CONNECTION_SEGMENTS = 4;

    /**
     * Assumed size of the first frame on a connection. PeerCodec encodes 186 bytes with ids of
     * usual length, so a member that opens two connections a second sends about 72 B/s more than
     * this class counts.
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

    /** Resets the byte counts. The pairs' last use is kept. */
    void reset() {
        totalBytes = 0;
        maximumBytesPerSecond = 0;
        Arrays.fill(bytesInSecond, 0);
    }

    /** Returns the mean number of bytes that a member sent per second in the given time. */
    long meanBytesPerSecond(long micros) {
        return totalBytes * SECOND_MICROS / Math.max(1, micros) / bytesInSecond.length;
    }

    /** Returns the largest number of bytes that any member sent within one second. */
    long maximumBytesPerSecond() {
        return maximumBytesPerSecond;
    }
}
