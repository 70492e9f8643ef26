package org.tarragonlug.id;

/**
 * Names a route, unique in the table of routes.
 *
 * @param value the non-empty text form
 */
public record RouteName(String value) implements Comparable<RouteName> {
    public RouteName {
        Identifiers.requireNonEmpty(value, "RouteName");
    }

    @Override
    public int compareTo(RouteName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
