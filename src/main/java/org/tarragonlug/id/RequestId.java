package org.tarragonlug.id;

/**
 * Identifies one request of a caller within this system.
 *
 * @param value the non-empty text form
 */
public record RequestId(String value) implements Comparable<RequestId> {
    public RequestId {
        Identifiers.requireNonEmpty(value, "RequestId");
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
