package org.tarragonlug.id;

/**
 * Fencing token of an order or of an order lease. For an order that a capacity record decided, the
 * token is the revision of that record; for an order lease, the token increases each time a process
 * acquires the lease.
 *
 * @param value zero or more
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    /** The lowest token, used before any order was decided or any lease was held. */
    public static final FencingToken NONE = new FencingToken(0);

    public FencingToken {
        if (value < 0) {
            throw new IllegalArgumentException("FencingToken must not be negative: " + value);
        }
    }

    /** Returns the next higher token. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
