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
    public void listed(ServerListing listing) {
        FleetServer known = servers.get(listing.id());
        if (known == null) {
            servers.put(listing.id(), new FleetServer(listing));
        } else {
            known.update(listing);
        }
    }

    /** Removes a server that is no longer listed. */
    public void gone(ServerId id) {
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
    public long ready(Instant now) {
        return servers.values().stream().filter(server -> server.takesWork(now)).count();
    }
}
