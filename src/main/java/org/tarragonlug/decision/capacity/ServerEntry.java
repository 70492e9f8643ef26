package org.tarragonlug.decision.capacity;

import org.tarragonlug.id.ServerId;

/**
 * A server in the capacity record.
 *
 * @param server the server
 * @param memoryBytes accelerator memory available for artifacts, bytes
 * @param state whether new slots may be placed on the server
 */
public record ServerEntry(ServerId server, long memoryBytes, ServerState state) {
    /** Returns a copy in another state. */
    public ServerEntry withState(ServerState changed) {
        return new ServerEntry(server, memoryBytes, changed);
    }
}
