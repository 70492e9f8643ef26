package org.tarragonlug.id;

/**
 * Identifies one write or order. After a lost answer, the sender recognises the effect of its
 * operation by this id.
 *
 * @param value the non-empty text form
 */
public record OperationId(String value) implements Comparable<OperationId> {
    public OperationId {
        Identifiers.requireNonEmpty(value, "OperationId");
    }

    @Override
    public int compareTo(OperationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
