package org.tarragonlug.id;

/**
 * Identifies one attempt to run a request on a backend server.
 *
 * @param value the non-empty text form
 */
public record AttemptId(String value) implements Comparable<AttemptId> {
    public AttemptId {
        Identifiers.requireNonEmpty(value, "AttemptId");
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
