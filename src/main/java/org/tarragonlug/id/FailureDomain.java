package org.tarragonlug.id;

/**
 * Names a failure domain: a part of a region whose instances can all fail together.
 *
 * @param value the non-empty text form
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    public FailureDomain {
        Identifiers.requireNonEmpty(value, "FailureDomain");
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    // Written out, because the generated methods are linked at run time, which lengthens each
    // start.
    @Override
    public boolean equals(Object other) {
        return other instanceof FailureDomain that && value.equals(that.value);
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
