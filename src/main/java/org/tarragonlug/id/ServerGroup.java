package org.tarragonlug.id;

/**
 * Names a group of backend servers that serve the same kind of requests.
 *
 * @param value the non-empty text form
 */
public record ServerGroup(String value) implements Comparable<ServerGroup> {
    public ServerGroup {
        Identifiers.requireNonEmpty(value, "ServerGroup");
    }

    @Override
    public int compareTo(ServerGroup other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
