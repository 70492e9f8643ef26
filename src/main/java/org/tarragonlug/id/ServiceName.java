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

    // Written out, because the generated methods are linked at run time, which lengthens each
    // start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceName that && value.equals(that.value);
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
