package org.tarragonlug.id;

/**
 * Identifies an artifact that a model engine can load: a version of a model or of an adapter.
 *
 * <p>The text form is {@code name@version}.
 *
 * @param name name of the model or adapter, without {@code @}
 * @param version version of the weights, without {@code @}
 */
public record ArtifactId(String name, String version) implements Comparable<ArtifactId> {
    public ArtifactId {
        Identifiers.requireNonEmpty(name, "ArtifactId name");
        Identifiers.requireNonEmpty(version, "ArtifactId version");
        if (name.indexOf('@') >= 0 || version.indexOf('@') >= 0) {
            throw new IllegalArgumentException("ArtifactId parts must not contain '@'");
        }
    }

    /**
     * Parses the text form of an id.
     *
     * @param text {@code name@version}; if the version is missing, {@code 1} is used
     * @return the parsed id
     * @throws IllegalArgumentException if the name or the version is empty or the version contains
     *     {@code @}
     */
    public static ArtifactId parse(String text) {
        int at = text.indexOf('@');
        if (at < 0) {
            return new ArtifactId(text, "1");
        }
        return new ArtifactId(text.substring(0, at), text.substring(at + 1));
    }

    @Override
    public int compareTo(ArtifactId other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return name + "@" + version;
    }
}
