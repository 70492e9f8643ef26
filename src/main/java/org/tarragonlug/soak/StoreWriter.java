package org.tarragonlug.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.tarragonlug.standin.PlatformStoreStandIn;

/**
 * Writes what the operator and the servers of a soak write to the store. While the store is being
 * restored from a copy it acknowledges nothing, so these writes have no effect. Thread-safe.
 */
final class StoreWriter {
    private final PlatformStoreStandIn store;
    private boolean interrupted;

    StoreWriter(PlatformStoreStandIn store) {
        this.store = store;
    }

    /** Sets whether writes have no effect. */
    synchronized void setInterrupted(boolean isInterrupted) {
        interrupted = isInterrupted;
    }

    /** Writes an object; returns whether the store has acknowledged it. */
    synchronized boolean put(String kind, String name, JsonNode content) {
        if (!interrupted) {
            store.put(kind, name, content);
        }
        return !interrupted;
    }

    /** Removes an object, if the store acknowledges that. */
    synchronized void remove(String kind, String name) {
        if (!interrupted) {
            store.remove(kind, name);
        }
    }

    /** Returns the stored contents of a kind by name; empty while the store is being restored. */
    synchronized Map<String, JsonNode> contents(String kind) {
        return interrupted ? Map.of() : store.contents(kind);
    }
}
