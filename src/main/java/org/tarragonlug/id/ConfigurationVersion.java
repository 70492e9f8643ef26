package org.tarragonlug.id;

/**
 * Version of the accepted configuration; increases by one with each accepted change.
 *
 * @param value zero or more
 */
public record ConfigurationVersion(long value) implements Comparable<ConfigurationVersion> {
    /** The lowest version, used before any configuration was accepted. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0);

    public ConfigurationVersion {
        if (value < 0) {
            throw new IllegalArgumentException(
                    "ConfigurationVersion must not be negative: " + value);
        }
    }

    /** Returns the next higher version. */
    public ConfigurationVersion next() {
        return new ConfigurationVersion(value + 1);
    }

    @Override
    public int compareTo(ConfigurationVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
