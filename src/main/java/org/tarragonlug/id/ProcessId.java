package org.tarragonlug.id;

/**
 * Identifies one process of an entry instance; a restarted process gets a new id.
 *
 * @param value the non-empty text form
 */
public record ProcessId(String value) implements Comparable<ProcessId> {
    public ProcessId {
        Identifiers.requireNonEmpty(value, "ProcessId");
    }

    @Override
    public int compareTo(ProcessId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
