package org.tarragonlug.id;

/**
 * Identifies the content of a request: a hash of its route and body.
 *
 * @param value the non-empty text form
 */
public record Fingerprint(String value) implements Comparable<Fingerprint> {
    public Fingerprint {
        Identifiers.requireNonEmpty(value, "Fingerprint");
    }

    @Override
    public int compareTo(Fingerprint other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
