package org.tarragonlug.soak;

import java.util.Random;

/** Random numbers of the parts of a soak, all from its seed. */
final class SoakRandom {
    private static final int HASH_BITS = 32;

    private SoakRandom() {}

    /**
     * Returns the numbers of one part.
     *
     * @param seed seed of the soak
     * @param part name of the part
     */
    static Random of(long seed, String part) {
        return new Random(seed ^ ((long) part.hashCode() << HASH_BITS) ^ part.length());
    }

    /** Returns a number from a range, both ends included. */
    static int between(Random random, int minimum, int maximum) {
        return minimum + random.nextInt(maximum - minimum + 1);
    }

    /** Returns true with a probability in percent. */
    static boolean percent(Random random, int percent) {
        return random.nextInt(100) < percent;
    }
}
