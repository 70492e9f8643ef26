package org.tarragonlug.simulation;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonlug.decision.forwarding.PromptPrefix;

/** The shared parts of prompts that a model server has read and keeps, the least recent first. */
final class PromptCache {
    private final int capacityTokens;
    private final Map<String, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private long readTokens;

    /**
     * Creates an empty cache.
     *
     * @param capacityTokens tokens that the server keeps at most
     */
    PromptCache(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Returns the tokens that the server must read for a prefix, 0 if it keeps the prefix. */
    int read(PromptPrefix prefix) {
        if (prefix.isEmpty() || tokensByPrefix.get(prefix.key()) != null) {
            return 0;
        }
        tokensByPrefix.put(prefix.key(), prefix.tokens());
        readTokens += prefix.tokens();
        trim();
        return prefix.tokens();
    }

    private void trim() {
        int tokens = tokensByPrefix.values().stream().mapToInt(Integer::intValue).sum();
        Iterator<Integer> oldest = tokensByPrefix.values().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next();
            oldest.remove();
        }
    }

    void removeModel(String model) {
        tokensByPrefix.keySet().removeIf(key -> key.startsWith(model + "#"));
    }

    void clear() {
        tokensByPrefix.clear();
    }

    /** Returns the tokens of all prefixes that had to be read. */
    long readTokens() {
        return readTokens;
    }
}
