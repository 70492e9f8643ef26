package org.tarragonlug.decision.capacity;

import org.tarragonlug.id.ServerId;

/**
 * A server in the memory ledger.
 *
 * @param server the server
 * @param memoryBytes accelerator memory for artifacts, bytes
 * @param state whether it may take new slots
 */
public record ServerEntry(ServerId server, long memoryBytes, ServerState state) {
    /** Returns a copy in another state. */
    public ServerEntry withState(ServerState changed) {
        return new ServerEntry(server, memoryBytes, changed);
    }
}
