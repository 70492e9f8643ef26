package org.tarragonlug.id;

/**
 * Fencing token of an order: the revision of the capacity record in which the order was decided.
 *
 * @param value zero or more
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    /** The lowest token, used before any order was decided. */
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
