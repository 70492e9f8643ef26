package org.tarragonlug.measure;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.decision.capacity.CacheTier;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/**
 * A simulated backend server with accelerator memory and checkpoint caches in memory and on disk.
 */
final class SimulatedServer {
    static final long ACCELERATOR_BYTES = 80 * ModelCatalogue.GIGABYTE;
    static final int ACCELERATORS = 2;

    private static final long MEMORY_CACHE_BYTES = 64 * ModelCatalogue.GIGABYTE;
    private static final long DISK_CACHE_BYTES = 300 * ModelCatalogue.GIGABYTE;

    private final ServerId id;
    private final FailureDomain domain;
    private final Cache memory = new Cache(MEMORY_CACHE_BYTES);
    private final Cache disk = new Cache(DISK_CACHE_BYTES);
    private final Set<Integer> models = new LinkedHashSet<>();
    private long freeBytes = ACCELERATORS * ACCELERATOR_BYTES;
    private int loads;

    SimulatedServer(int number) {
        id = new ServerId("server-" + number);
        domain = new FailureDomain("domain-" + number % 3);
    }

    ServerId id() {
        return id;
    }

    FailureDomain domain() {
        return domain;
    }

    Set<Integer> models() {
        return models;
    }

    long freeBytes() {
        return freeBytes;
    }

    int loads() {
        return loads;
    }

    CacheTier tier(ArtifactId artifact) {
        if (memory.entries.containsKey(artifact)) {
            return CacheTier.MEMORY;
        }
        return disk.entries.containsKey(artifact) ? CacheTier.DISK : CacheTier.REMOTE;
    }

    void beginLoad(int model, ArtifactLimit limit) {
        freeBytes -= limit.memoryBytes();
        if (freeBytes < 0) {
            throw new IllegalStateException(
                    "accelerator memory of " + id + " overcommitted by " + -freeBytes + " bytes");
        }
        models.add(model);
        loads++;
    }

    void endLoad(ArtifactLimit limit) {
        loads--;
        disk.put(limit);
        memory.put(limit);
    }

    void unload(int model, ArtifactLimit limit) {
        freeBytes += limit.memoryBytes();
        models.remove(model);
    }

    /** A cache that evicts the least recently loaded checkpoints when it is full. */
    private static final class Cache {
        private final long capacityBytes;
        private final Map<ArtifactId, Long> entries = new LinkedHashMap<>();
        private long usedBytes;

        Cache(long capacityBytes) {
            this.capacityBytes = capacityBytes;
        }

        void put(ArtifactLimit limit) {
            Long previousBytes = entries.remove(limit.artifact());
            usedBytes -= previousBytes == null ? 0 : previousBytes;
            if (limit.memoryBytes() > capacityBytes) {
                return;
            }
            entries.put(limit.artifact(), limit.memoryBytes());
            usedBytes += limit.memoryBytes();
            while (usedBytes > capacityBytes) {
                ArtifactId oldest = entries.keySet().iterator().next();
                usedBytes -= entries.remove(oldest);
            }
        }
    }
}
