package org.tarragonlug.id;

/**
 * Names a pool, unique in the table of pools.
 *
 * @param value the non-empty text form
 */
public record PoolName(String value) implements Comparable<PoolName> {
    public PoolName {
        Identifiers.requireNonEmpty(value, "PoolName");
    }

    @Override
    public int compareTo(PoolName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
