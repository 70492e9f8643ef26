package org.tarragonlug.id;

/**
 * The key by which a caller marks repeated tries of one request.
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
