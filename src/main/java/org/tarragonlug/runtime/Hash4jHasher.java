package org.tarragonlug.runtime;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.tarragonlug.decision.Hasher;

/** Hashes by XXH3 of the hash4j library, which is the same in every process and release. */
public final class Hash4jHasher implements Hasher {
    private final Hasher64 hasher = Hashing.xxh3_64();

    @Override
    public long hash(String text) {
        return hasher.hashCharsToLong(text);
    }
}
