package org.tarragonlug.caller;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the memory that the bodies of all requests take at once.
 *
 * <p>The size of one body is limited, but many callers may send bodies of that size together. A
 * body is therefore read only when there is memory for the whole of it; meanwhile flow control
 * holds its caller back. Because a body reserves all that it may need before it is read, a body
 * that is being read never waits for another one, so the reading of all comes to an end. Bodies
 * that wait are granted their memory in the order of their arrival, so a large one is not passed
 * over for ever.
 *
 * <p>A body that is larger than the limit would wait for ever, so it must be refused before.
 */
final class BodyMemory {
    /** The memory of one body, granted or waited for. */
    final class Reservation {
        private final Runnable onGranted;
        private long bytes;
        private boolean granted;
        private boolean released;

        private Reservation(long bytes, Runnable onGranted) {
            this.bytes = bytes;
            this.onGranted = onGranted;
        }

        /** Gives back what the body does not need, now that its length is known. */
        void shrink(long newBytes) {
            synchronized (BodyMemory.this) {
                if (released || !granted || newBytes >= bytes) {
                    return;
                }
                reserved -= bytes - newBytes;
                bytes = newBytes;
            }
            grantWaiting();
        }

        /** Gives the memory back, or stops waiting for it. May be called more than once. */
        void release() {
            synchronized (BodyMemory.this) {
                if (released) {
                    return;
                }
                released = true;
                if (granted) {
                    reserved -= bytes;
                } else {
                    waiting.remove(this);
                }
            }
            grantWaiting();
        }
    }

    private final long limit;
    private final Deque<Reservation> waiting = new ArrayDeque<>();
    private long reserved;

    /**
     * Creates an unused memory.
     *
     * @param limit bytes that all bodies together may take
     */
    BodyMemory(long limit) {
        this.limit = limit;
    }

    /**
     * Asks for memory.
     *
     * @param bytes bytes that the body may take, at most the limit
     * @param onGranted called once when the memory is granted, during this call or later
     * @return the reservation, which must be released
     */
    Reservation reserve(long bytes, Runnable onGranted) {
        Reservation reservation = new Reservation(bytes, onGranted);
        synchronized (this) {
            waiting.add(reservation);
        }
        grantWaiting();
        return reservation;
    }

    /** Returns the bytes that are reserved now. */
    synchronized long reserved() {
        return reserved;
    }

    /** Grants memory in order. The actions run without the lock, since they read from callers. */
    private void grantWaiting() {
        for (Reservation next = takeNext(); next != null; next = takeNext()) {
            next.onGranted.run();
        }
    }

    private synchronized Reservation takeNext() {
        Reservation next = waiting.peek();
        if (next == null || reserved + next.bytes > limit) {
            return null;
        }
        waiting.remove();
        next.granted = true;
        reserved += next.bytes;
        return next;
    }
}
