package org.tarragonlug.id;

/**
 * Something that several requests may have in common and that may crash the servers that run them.
 *
 * <p>The text form is the kind, a colon and the value, such as {@code part:5c1e07a2}.
 *
 * @param kind what the requests have in common
 * @param value the non-empty identifier, unique within the kind
 */
public record RequestTrait(Kind kind, String value) implements Comparable<RequestTrait> {
    /** What requests may have in common. */
    public enum Kind {
        /** Their prompts contain the same part. */
        PART("part"),
        /** They are equal: the same caller's request, sent again. */
        CONTENT("content");

        private final String prefix;

        Kind(String name) {
            this.prefix = name + ":";
        }
    }

    public RequestTrait {
        Identifiers.requireNonEmpty(value, "RequestTrait");
    }

    /**
     * Parses the text form.
     *
     * @throws IllegalArgumentException if the kind is unknown or the value is empty
     */
    public static RequestTrait parse(String text) {
        for (Kind kind : Kind.values()) {
            if (text.startsWith(kind.prefix)) {
                return new RequestTrait(kind, text.substring(kind.prefix.length()));
            }
        }
        throw new IllegalArgumentException("not a request trait: " + text);
    }

    @Override
    public int compareTo(RequestTrait other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return kind.prefix + value;
    }
}
