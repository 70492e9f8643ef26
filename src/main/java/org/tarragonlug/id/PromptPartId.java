package org.tarragonlug.id;

/**
 * Identifies a part of a prompt, such as a document that the prompts of several requests contain.
 *
 * @param value the non-empty text form
 */
public record PromptPartId(String value) implements Comparable<PromptPartId> {
    public PromptPartId {
        Identifiers.requireNonEmpty(value, "PromptPartId");
    }

    @Override
    public int compareTo(PromptPartId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
