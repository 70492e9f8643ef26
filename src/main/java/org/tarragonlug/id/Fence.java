package org.tarragonlug.id;

/**
 * Fencing number of an order: the revision of the capacity record that decided it.
 *
 * @param value zero or more
 */
public record Fence(long value) implements Comparable<Fence> {
    /** The lowest value, used before anything was decided. */
    public static final Fence NONE = new Fence(0);

    public Fence {
        if (value < 0) {
            throw new IllegalArgumentException("Fence must not be negative: " + value);
        }
    }

    /** Returns the next higher value. */
    public Fence next() {
        return new Fence(value + 1);
    }

    @Override
    public int compareTo(Fence other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
