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

    private static final long TOKENS_PER_ERA = 1L << 20;

    /** Up to this era tokens remain exact in JSON numbers, which have 53 bits. */
    private static final long MAX_ERA = 1L << 32;

    public FencingToken {
        if (value < 0) {
            throw new IllegalArgumentException("FencingToken must not be negative: " + value);
        }
    }

    /**
     * Returns the lowest token that holders of a lease get in an era of the store. Up to era 2^32
     * it is higher than all that were given out in earlier eras, also those that the store has
     * lost; for later eras it does not rise.
     */
    public static FencingToken firstOf(StoreEra era) {
        return new FencingToken(Math.min(era.value(), MAX_ERA) * TOKENS_PER_ERA);
    }

    /** Returns the higher one of two tokens. */
    public static FencingToken higher(FencingToken one, FencingToken other) {
        return one.compareTo(other) >= 0 ? one : other;
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
