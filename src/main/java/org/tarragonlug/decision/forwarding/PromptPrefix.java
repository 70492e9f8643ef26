package org.tarragonlug.decision.forwarding;

/**
 * The part of a prompt that other requests share.
 *
 * @param key identifies it together with the model; empty if nothing is shared
 * @param tokens its length
 */
public record PromptPrefix(String key, int tokens) {
    /** No shared prefix. */
    public static final PromptPrefix NONE = new PromptPrefix("", 0);

    /** Tells whether nothing is shared. */
    public boolean isEmpty() {
        return key.isEmpty();
    }
}
