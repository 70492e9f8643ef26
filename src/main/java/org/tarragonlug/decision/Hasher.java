package org.tarragonlug.decision;

/** A stable hash function, injected so that decisions do not depend on a hashing library. */
@FunctionalInterface
public interface Hasher {
    /**
     * Hashes a text.
     *
     * @param text any text
     * @return 64 well mixed bits, the same in every process and release
     */
    long hash(String text);
}
