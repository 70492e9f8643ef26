package org.tarragonlug.id;

/**
 * Names a service: a set of backend servers that answer the same requests.
 *
 * @param value the non-empty text form
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    public ServiceName {
        Identifiers.requireNonEmpty(value, "ServiceName");
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
