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
     * @param toPlace the artifact to place, with its memory
     * @param candidates servers of the group that accept new replicas
     * @param occupied failure domains that already hold a replica of the artifact
     * @return the choice; empty if no server can free enough memory at present
     */
    Optional<Choice> choose(
            ArtifactLimit toPlace, List<ServerCandidate> candidates, Set<FailureDomain> occupied);

    /**
     * A chosen server.
     *
     * @param server the server
     * @param unloadFirst idle artifacts to unload on the server before the load; empty if its free
     *     memory suffices
     */
    record Choice(ServerId server, List<ArtifactId> unloadFirst) {
        public Choice {
            unloadFirst = List.copyOf(unloadFirst);
        }
    }
}
