package org.tarragonlug.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.capacity.CacheTier;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/**
 * Artifacts that an engine holds in accelerator memory, and the tiers in which it caches
 * checkpoints. Not thread-safe; guarded by the engine's lock.
 */
final class EngineMemory {
    /** Number of checkpoints that fit into host memory; older ones are cached on disk only. */
    private static final int MAXIMUM_HOST_MEMORY_CHECKPOINTS = 3;

    private final ServerId server;
    private final long totalBytes;
    private final EngineRecorder recorder;
    private final Map<ArtifactId, HeldArtifact> heldArtifacts = new HashMap<>();
    private final LinkedHashMap<ArtifactId, CacheTier> cacheTiers = new LinkedHashMap<>();

    EngineMemory(ServerId server, long totalBytes, EngineRecorder recorder) {
        this.server = server;
        this.totalBytes = totalBytes;
        this.recorder = recorder;
    }

    HeldArtifact get(ArtifactId artifact) {
        return heldArtifacts.get(artifact);
    }

    boolean isReady(ArtifactId artifact) {
        HeldArtifact entry = heldArtifacts.get(artifact);
        return entry != null && entry.ready;
    }

    /** Reserves memory for a load. If it does not fit, records an overcommit and returns empty. */
    Optional<HeldArtifact> reserve(ArtifactId artifact, Optional<ArtifactId> base, long bytes) {
        long used = heldArtifacts.values().stream().mapToLong(entry -> entry.bytes).sum();
        if (used + bytes > totalBytes) {
            recorder.recordOvercommit();
            return Optional.empty();
        }
        HeldArtifact entry = new HeldArtifact(artifact, base, bytes);
        heldArtifacts.put(artifact, entry);
        recorder.recordReplicaChange(server, artifact, ReplicaChange.State.LOADING);
        return Optional.of(entry);
    }

    void markReady(HeldArtifact entry) {
        entry.ready = true;
        cacheInHostMemory(entry.artifact);
        recorder.recordReplicaChange(server, entry.artifact, ReplicaChange.State.LOADED);
    }

    void release(HeldArtifact entry) {
        heldArtifacts.remove(entry.artifact);
        recorder.recordReplicaChange(server, entry.artifact, ReplicaChange.State.ABSENT);
    }

    /** Releases all artifacts, as the loss of the process does, and returns them. */
    List<HeldArtifact> clear() {
        List<HeldArtifact> all = new ArrayList<>(heldArtifacts.values());
        all.forEach(this::release);
        return all;
    }

    boolean hasAdapters(ArtifactId base) {
        return heldArtifacts.values().stream()
                .anyMatch(entry -> entry.base.equals(Optional.of(base)));
    }

    Map<ArtifactId, Long> sizes(boolean ready) {
        Map<ArtifactId, Long> sizes = new HashMap<>();
        for (HeldArtifact entry : heldArtifacts.values()) {
            if (entry.ready == ready) {
                sizes.put(entry.artifact, entry.bytes);
            }
        }
        return sizes;
    }

    CacheTier cacheTier(ArtifactId artifact) {
        return cacheTiers.getOrDefault(artifact, CacheTier.REMOTE);
    }

    void setCacheTier(ArtifactId artifact, CacheTier tier) {
        cacheTiers.put(artifact, tier);
    }

    Map<ArtifactId, CacheTier> cacheTiers() {
        return cacheTiers;
    }

    private void cacheInHostMemory(ArtifactId artifact) {
        cacheTiers.remove(artifact);
        cacheTiers.put(artifact, CacheTier.MEMORY);
        long inMemory = cacheTiers.values().stream().filter(t -> t == CacheTier.MEMORY).count();
        if (inMemory > MAXIMUM_HOST_MEMORY_CHECKPOINTS) {
            cacheTiers.entrySet().stream()
                    .filter(entry -> entry.getValue() == CacheTier.MEMORY)
                    .findFirst()
                    .ifPresent(oldest -> oldest.setValue(CacheTier.DISK));
        }
    }

    /** An artifact that occupies accelerator memory, whether it is loaded or being loaded. */
    static final class HeldArtifact {
        private final ArtifactId artifact;
        private final Optional<ArtifactId> base;
        private final long bytes;
        private final List<Runnable> loadEndTasks = new ArrayList<>();
        private boolean ready;
        private Runnable cancelLoad = () -> {};

        HeldArtifact(ArtifactId artifact, Optional<ArtifactId> base, long bytes) {
            this.artifact = artifact;
            this.base = base;
            this.bytes = bytes;
        }

        ArtifactId artifact() {
            return artifact;
        }

        Optional<ArtifactId> base() {
            return base;
        }

        boolean isReady() {
            return ready;
        }

        /** Adds a task to run when the load ends, whether it succeeds or fails. */
        void onLoadEnd(Runnable task) {
            loadEndTasks.add(task);
        }

        List<Runnable> removeLoadEndTasks() {
            List<Runnable> tasks = List.copyOf(loadEndTasks);
            loadEndTasks.clear();
            return tasks;
        }

        void setCancelLoad(Runnable cancel) {
            cancelLoad = cancel;
        }

        void cancelLoad() {
            cancelLoad.run();
        }
    }
}
