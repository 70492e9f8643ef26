package org.tarragonlug.http;

/**
 * Limits the bytes of incomplete answers that all calls together keep in memory.
 *
 * <p>A limit for each call alone does not protect the process: many calls at once may meet servers
 * that send bodies without end. When the limit is passed, a call must end if it keeps at least an
 * equal part of the limit. At least one of the calls does, so the total shrinks with the next bytes
 * that it receives, while calls with small answers go on. Each call may pass the limit once by what
 * it receives at a time, so the total stays below the limit and one read for each call.
 */
final class HeldBytes {
    private final long limit;
    private long total;
    private int holders;

    /**
     * Creates a limit.
     *
     * @param limit bytes that all calls together may keep
     */
    HeldBytes(long limit) {
        this.limit = limit;
    }

    /**
     * Records what a call keeps.
     *
     * @param before bytes that the call kept until now
     * @param after bytes that the call keeps now
     * @return whether the call may go on
     */
    synchronized boolean change(long before, long after) {
        total += after - before;
        if (before == 0 && after > 0) {
            holders++;
        } else if (before > 0 && after == 0) {
            holders--;
        }
        return total <= limit || after * holders < limit;
    }

    /** Returns the bytes that all calls keep now. */
    synchronized long total() {
        return total;
    }
}
