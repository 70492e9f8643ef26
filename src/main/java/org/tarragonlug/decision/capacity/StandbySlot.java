package org.tarragonlug.decision.capacity;

import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerId;

/**
 * Memory reserved for cold starts while the object API is down. Only the process that holds the
 * standby slot may fill it, so only this holder changes or removes it. Other processes do so only
 * after the holder has certainly stopped or the server has left.
 *
 * @param pool the pool to which the standby slot belongs
 * @param server the server
 * @param memoryBytes reserved memory, bytes; enough for the largest artifact of the list
 * @param holder the only process that may fill the standby slot
 * @param artifacts cold models that the standby slot covers; no other standby slot covers them
 * @param fence first of the {@value #FENCING_TOKEN_RANGE} fencing tokens that are reserved for the
 *     holder
 * @param inUse the artifact that the standby slot contains; empty until the holder has recorded its
 *     use
 */
public record StandbySlot(
        PoolName pool,
        ServerId server,
        long memoryBytes,
        ProcessId holder,
        List<ArtifactId> artifacts,
        FencingToken fence,
        Optional<ArtifactId> inUse) {
    /**
     * Number of fencing tokens that are reserved for a standby slot when it is written
     * (docs/design.md, section 3.5).
     */
    public static final long FENCING_TOKEN_RANGE = 1_000;

    public StandbySlot {
        artifacts = List.copyOf(artifacts);
    }

    /** Returns a copy that covers other artifacts and keeps its fencing tokens. */
    public StandbySlot withArtifacts(List<ArtifactId> changed) {
        return new StandbySlot(pool, server, memoryBytes, holder, changed, fence, inUse);
    }

    /** Returns a copy with another recorded content. */
    public StandbySlot withInUse(Optional<ArtifactId> changed) {
        return new StandbySlot(pool, server, memoryBytes, holder, artifacts, fence, changed);
    }
}
