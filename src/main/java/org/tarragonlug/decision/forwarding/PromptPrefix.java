package org.tarragonlug.decision.forwarding;

import java.util.List;
import org.tarragonlug.id.PromptPartId;

/**
 * The beginning of a prompt that a request shares with other requests.
 *
 * @param key identifies the prefix together with the model; empty if nothing is shared
 * @param tokens length of the prefix in tokens
 * @param parts the parts of the prefix, in the order of the prompt
 */
public record PromptPrefix(String key, int tokens, List<PromptPartId> parts) {
    /** The value for requests without a shared prefix. */
    public static final PromptPrefix NONE = new PromptPrefix("", 0, List.of());

    public PromptPrefix {
        parts = List.copyOf(parts);
    }

    /** Tells whether the request has no shared prefix. */
    public boolean isEmpty() {
        return key.isEmpty();
    }
}
