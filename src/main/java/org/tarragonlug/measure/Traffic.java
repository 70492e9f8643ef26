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
final class Traffic {
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

    private static final long IDLE_LIMIT_MICROS = 60_000_000L;
    private static final long SECOND_MICROS = 1_000_000L;

    private final MessageSizes sizes = new MessageSizes();
    private final Map<Long, Long> lastUse = new HashMap<>();
    private final long[] inSecond;
    private long second = -1;
    private long total;
    private long busiest;

    Traffic(int members) {
        this.inSecond = new long[members];
    }

    void count(int from, int to, PeerMessage message, long micros) {
        advance(micros / SECOND_MICROS);
        add(from, LENGTH_BYTES + sizes.of(message) + SEGMENT_BYTES);
        add(to, SEGMENT_BYTES);
        long pair = (long) Math.min(from, to) * inSecond.length + Math.max(from, to);
        Long used = lastUse.put(pair, micros);
        if (used == null || micros - used > IDLE_LIMIT_MICROS) {
            int opening = CONNECTION_SEGMENTS * SEGMENT_BYTES + FIRST_FRAME_BYTES;
            add(from, opening);
            add(to, opening);
        }
    }

    private void add(int member, long bytes) {
        total += bytes;
        inSecond[member] += bytes;
    }

    private void advance(long now) {
        if (now == second) {
            return;
        }
        second = now;
        for (int index = 0; index < inSecond.length; index++) {
            busiest = Math.max(busiest, inSecond[index]);
            inSecond[index] = 0;
        }
    }

    /** Starts to count anew. */
    void reset() {
        total = 0;
        busiest = 0;
        Arrays.fill(inSecond, 0);
    }

    /** Returns bytes sent a second by a member on average. */
    long mean(long micros) {
        return total * SECOND_MICROS / Math.max(1, micros) / inSecond.length;
    }

    /** Returns the most bytes any member sent in one second. */
    long busiest() {
        return busiest;
    }
}
