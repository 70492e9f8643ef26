package org.tarragonlug.id;

/**
 * Identifies one backend server, as the instance list names it.
 *
 * @param value the non-empty text form
 */
public record ServerId(String value) implements Comparable<ServerId> {
    public ServerId {
        Identifiers.requireNonEmpty(value, "ServerId");
    }

    @Override
    public int compareTo(ServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
