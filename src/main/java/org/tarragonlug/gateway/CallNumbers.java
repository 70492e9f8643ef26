package org.tarragonlug.gateway;

import java.util.random.RandomGenerator;

/**
 * Numbers the calls of this process to other instances. An answer names its call by the number.
 *
 * <p>A process that has started again under the same instance id may receive answers to calls of
 * the process before. The first number is random, so those answers match none of its own calls.
 */
final class CallNumbers {
    /** Bound of the first number; the numbers above it are never used up. */
    private static final long FIRST_NUMBER_BOUND = 1L << 62;

    private long last;

    CallNumbers(RandomGenerator random) {
        last = random.nextLong(FIRST_NUMBER_BOUND);
    }

    long next() {
        last++;
        return last;
    }
}
