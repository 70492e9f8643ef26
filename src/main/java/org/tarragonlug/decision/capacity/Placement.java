package org.tarragonlug.decision.capacity;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/** Chooses the server for a new replica. */
public interface Placement {
    /**
     * Chooses a server.
     *
     * @param wanted the artifact and its memory
     * @param candidates servers of the group that may take new work
     * @param occupied failure domains that already hold a replica of it
     * @return the choice; empty when no server can make room now
     */
    Optional<Choice> choose(
            ArtifactLimit wanted, List<ServerCandidate> candidates, Set<FailureDomain> occupied);

    /**
     * A chosen server.
     *
     * @param server the server
     * @param unloadFirst idle artifacts to unload on it before the load; empty when it has room
     */
    record Choice(ServerId server, List<ArtifactId> unloadFirst) {
        public Choice {
            unloadFirst = List.copyOf(unloadFirst);
        }
    }
}
