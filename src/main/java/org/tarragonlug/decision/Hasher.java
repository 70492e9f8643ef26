package org.tarragonlug.decision;

/**
 * A stable hash function. It is injected, so the decision code does not depend on a hashing
 * library.
 */
@FunctionalInterface
public interface Hasher {
    /**
     * Hashes a text.
     *
     * @param text any text
     * @return a well-distributed 64-bit hash, the same in every process and release
     */
    long hash(String text);
}
