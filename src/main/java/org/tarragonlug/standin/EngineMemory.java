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
 * What an engine holds in accelerator memory, and where it caches checkpoints. Not thread-safe; the
 * engine's lock guards it.
 */
final class EngineMemory {
    /** Checkpoints that fit into the memory of the host; older ones are on disk only. */
    private static final int HOST_MEMORY_CHECKPOINTS = 3;

    private final ServerId server;
    private final long totalBytes;
    private final PlatformTruth truth;
    private final Map<ArtifactId, Held> held = new HashMap<>();
    private final LinkedHashMap<ArtifactId, CacheTier> cached = new LinkedHashMap<>();

    EngineMemory(ServerId server, long totalBytes, PlatformTruth truth) {
        this.server = server;
        this.totalBytes = totalBytes;
        this.truth = truth;
    }

    Held get(ArtifactId artifact) {
        return held.get(artifact);
    }

    boolean isReady(ArtifactId artifact) {
        Held entry = held.get(artifact);
        return entry != null && entry.ready;
    }

    /** Reserves memory for a load; empty and a counted violation if it does not fit. */
    Optional<Held> reserve(ArtifactId artifact, Optional<ArtifactId> base, long bytes) {
        long used = held.values().stream().mapToLong(entry -> entry.bytes).sum();
        if (used + bytes > totalBytes) {
            truth.overcommitted();
            return Optional.empty();
        }
        Held entry = new Held(artifact, base, bytes);
        held.put(artifact, entry);
        truth.changed(server, artifact, ReplicaChange.State.LOADING);
        return Optional.of(entry);
    }

    void ready(Held entry) {
        entry.ready = true;
        touchCache(entry.artifact);
        truth.changed(server, entry.artifact, ReplicaChange.State.LOADED);
    }

    void release(Held entry) {
        held.remove(entry.artifact);
        truth.changed(server, entry.artifact, ReplicaChange.State.ABSENT);
    }

    /** Releases everything, as a lost process does; returns what was held. */
    List<Held> clear() {
        List<Held> all = new ArrayList<>(held.values());
        all.forEach(this::release);
        return all;
    }

    boolean hasAdapters(ArtifactId base) {
        return held.values().stream().anyMatch(entry -> entry.base.equals(Optional.of(base)));
    }

    Map<ArtifactId, Long> sizes(boolean ready) {
        Map<ArtifactId, Long> sizes = new HashMap<>();
        for (Held entry : held.values()) {
            if (entry.ready == ready) {
                sizes.put(entry.artifact, entry.bytes);
            }
        }
        return sizes;
    }

    CacheTier tier(ArtifactId artifact) {
        return cached.getOrDefault(artifact, CacheTier.REMOTE);
    }

    void cache(ArtifactId artifact, CacheTier tier) {
        cached.put(artifact, tier);
    }

    Map<ArtifactId, CacheTier> tiers() {
        return cached;
    }

    private void touchCache(ArtifactId artifact) {
        cached.remove(artifact);
        cached.put(artifact, CacheTier.MEMORY);
        long inMemory = cached.values().stream().filter(t -> t == CacheTier.MEMORY).count();
        if (inMemory > HOST_MEMORY_CHECKPOINTS) {
            cached.entrySet().stream()
                    .filter(entry -> entry.getValue() == CacheTier.MEMORY)
                    .findFirst()
                    .ifPresent(oldest -> oldest.setValue(CacheTier.DISK));
        }
    }

    /** One artifact in accelerator memory. */
    static final class Held {
        private final ArtifactId artifact;
        private final Optional<ArtifactId> base;
        private final long bytes;
        private final List<Runnable> waiting = new ArrayList<>();
        private boolean ready;
        private Runnable cancelLoad = () -> {};

        Held(ArtifactId artifact, Optional<ArtifactId> base, long bytes) {
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

        /** Adds a task for the end of the load, whether it succeeds or not. */
        void whenLoadEnds(Runnable task) {
            waiting.add(task);
        }

        List<Runnable> takeWaiting() {
            List<Runnable> tasks = List.copyOf(waiting);
            waiting.clear();
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
