package org.tarragonlug.runtime;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.tarragonlug.decision.Hasher;

/**
 * Hashes with XXH3 of the hash4j library, which gives equal values in all processes and releases.
 */
public final class Hash4jHasher implements Hasher {
    private final Hasher64 hasher = Hashing.xxh3_64();

    @Override
    public long hash(String text) {
        return hasher.hashCharsToLong(text);
    }
}
