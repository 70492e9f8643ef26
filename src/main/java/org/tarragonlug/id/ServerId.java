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

    // Written out, because the generated methods are linked at run time, which lengthens each
    // start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServerId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
