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

    // Written out, because the generated methods are linked at run time, which lengthens each
    // start.
    @Override
    public boolean equals(Object other) {
        return other instanceof InstanceId that && value.equals(that.value);
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
