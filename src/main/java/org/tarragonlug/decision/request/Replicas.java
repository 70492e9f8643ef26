package org.tarragonlug.decision.request;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The servers that can serve an artifact or a plain service, and what is done about more. */
final class Replicas {
    final List<BackendServer> ready = new ArrayList<>();
    final List<Target> targets = new ArrayList<>();
    ColdStart coldStart = ColdStart.UNDECIDED;
    Optional<Instant> expectedReadyAt = Optional.empty();

    boolean hasUsableServer() {
        for (BackendServer server : ready) {
            if (server.isUsable()) {
                return true;
            }
        }
        return false;
    }

    boolean add(BackendServer server) {
        return !ready.contains(server) && ready.add(server);
    }
}
