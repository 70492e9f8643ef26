package org.tarragonlug.soak;

/** Checks the numbers of a {@link SoakShape}. */
final class ShapeBounds {
    private ShapeBounds() {}

    /**
     * Checks that a field lies between two bounds, both included.
     *
     * @throws IllegalArgumentException if it does not
     */
    static void check(String field, long value, long lowest, long highest) {
        if (value < lowest || value > highest) {
            throw new IllegalArgumentException(
                    "field " + field + " must be from " + lowest + " to " + highest);
        }
    }

    /** Checks that a field is a percentage. */
    static void checkPercent(String field, long value) {
        check(field, value, 0, 100);
    }
}
