package org.tarragonlug.id;

/**
 * Object name of the claim on a non-idempotent request.
 *
 * @param value the non-empty text form
 */
public record ClaimKey(String value) implements Comparable<ClaimKey> {
    public ClaimKey {
        Identifiers.requireNonEmpty(value, "ClaimKey");
    }

    @Override
    public int compareTo(ClaimKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
