package org.tarragonlug.id;

/**
 * The key with which a caller marks repetitions of the same request.
 *
 * @param value the non-empty text form
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    public IdempotencyKey {
        Identifiers.requireNonEmpty(value, "IdempotencyKey");
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
