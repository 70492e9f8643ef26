package org.tarragonlug.decision.capacity;

import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerId;

/**
 * Memory set aside for cold starts while the object API is down. Only the holder may fill it, so
 * only the holder changes or removes it; others do so once the holder is certainly gone or the
 * server has left.
 *
 * @param pool the pool it belongs to
 * @param server the server
 * @param memoryBytes memory reserved, bytes; the largest artifact of the list
 * @param holder the only process that may fill it
 * @param artifacts cold models it covers; no other standby slot covers them
 * @param fence first of the {@value #FENCING_TOKEN_RANGE} fencing numbers that belong to the holder
 * @param inUse the artifact it holds, once the holder has recorded that
 */
public record StandbySlot(
        PoolName pool,
        ServerId server,
        long memoryBytes,
        ProcessId holder,
        List<ArtifactId> artifacts,
        FencingToken fence,
        Optional<ArtifactId> inUse) {
    /** Fencing numbers reserved by writing a standby slot (docs/design.md, section 3.5). */
    public static final long FENCING_TOKEN_RANGE = 1_000;

    public StandbySlot {
        artifacts = List.copyOf(artifacts);
    }

    /** Returns a copy that covers other artifacts and keeps its fences. */
    public StandbySlot withArtifacts(List<ArtifactId> changed) {
        return new StandbySlot(pool, server, memoryBytes, holder, changed, fence, inUse);
    }

    /** Returns a copy with another recorded use. */
    public StandbySlot withInUse(Optional<ArtifactId> changed) {
        return new StandbySlot(pool, server, memoryBytes, holder, artifacts, fence, changed);
    }
}
