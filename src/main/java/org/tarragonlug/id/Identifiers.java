package org.tarragonlug.id;

/** Validation shared by the id types. */
final class Identifiers {
    private Identifiers() {}

    static void requireNonEmpty(String value, String type) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(type + " must not be empty");
        }
    }
}
