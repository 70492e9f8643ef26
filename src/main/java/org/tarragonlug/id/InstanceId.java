package org.tarragonlug.id;

/**
 * Identifies one instance that runs processes of this system, as the platform names it.
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
