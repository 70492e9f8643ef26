package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.id.ServerId;

/** All backend servers that an instance knows. */
public final class Fleet {
    private final Map<ServerId, FleetServer> servers = new HashMap<>();

    /** Adds or updates a server. */
    public void addOrUpdate(ServerListing listing) {
        FleetServer existing = servers.get(listing.id());
        if (existing == null) {
            servers.put(listing.id(), new FleetServer(listing));
        } else {
            existing.update(listing);
        }
    }

    /** Removes a server that is no longer listed. */
    public void remove(ServerId id) {
        servers.remove(id);
    }

    /** Returns a server, if it is known. */
    public Optional<FleetServer> server(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns all servers. */
    public Collection<FleetServer> servers() {
        return servers.values();
    }

    /** Returns how many servers take new work. */
    public long availableCount(Instant now) {
        return servers.values().stream().filter(server -> server.isAvailable(now)).count();
    }
}
