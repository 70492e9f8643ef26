package org.tarragonlug.id;

/**
 * Fencing number of an order: the revision of the capacity record that decided it.
 *
 * @param value zero or more
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    /** The lowest value, used before anything was decided. */
    public static final FencingToken NONE = new FencingToken(0);

    public FencingToken {
        if (value < 0) {
            throw new IllegalArgumentException("Fence must not be negative: " + value);
        }
    }

    /** Returns the next higher value. */
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
