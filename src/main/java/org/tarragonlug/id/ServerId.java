package org.tarragonlug.id;

/**
 * Identifies a backend server by its id in the instance list.
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
