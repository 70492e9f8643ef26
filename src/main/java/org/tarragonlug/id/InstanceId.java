package org.tarragonlug.id;

/**
 * Identifies an instance that runs processes of this system. The platform assigns the id.
 *
 * @param value the non-empty text form
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    public InstanceId {
        Identifiers.requireNonEmpty(value, "InstanceId");
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
