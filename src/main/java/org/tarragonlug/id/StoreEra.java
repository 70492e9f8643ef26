package org.tarragonlug.id;

/**
 * Number of the copy from which a store has been running. A store that returns from an older copy
 * states a higher number than before, and its revisions before and after that cannot be compared.
 *
 * @param value zero or more; zero for a store that states no era
 */
public record StoreEra(long value) implements Comparable<StoreEra> {
    /** The era of a store that does not state eras. It never returns from an older copy. */
    public static final StoreEra NONE = new StoreEra(0);

    /** The era of a store that states eras and has never returned from an older copy. */
    public static final StoreEra FIRST = new StoreEra(1);

    public StoreEra {
        if (value < 0) {
            throw new IllegalArgumentException("StoreEra must not be negative: " + value);
        }
    }

    /** Returns whether the store states eras at all. */
    public boolean isStated() {
        return value > 0;
    }

    /** Returns the era after this one. */
    public StoreEra next() {
        return new StoreEra(value + 1);
    }

    @Override
    public int compareTo(StoreEra other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return isStated() ? Long.toString(value) : "none";
    }
}
