package org.tarragonlug.decision.forwarding;

/**
 * The beginning of a prompt that a request shares with other requests.
 *
 * @param key identifies the prefix together with the model; empty if nothing is shared
 * @param tokens length of the prefix in tokens
 */
public record PromptPrefix(String key, int tokens) {
    /** The value for requests without a shared prefix. */
    public static final PromptPrefix NONE = new PromptPrefix("", 0);

    /** Tells whether the request has no shared prefix. */
    public boolean isEmpty() {
        return key.isEmpty();
    }
}
