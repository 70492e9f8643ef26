package org.tarragonlug.decision.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerGroup;

/** Checks the rows of the table of pools. */
final class PoolChecker {
    private final List<Pool> pools;
    private final Map<ServerGroup, Long> serverMemory;
    private final FaultList faults;
    private final Map<ServerGroup, Map<ArtifactId, String>> artifactPathsByGroup = new HashMap<>();

    PoolChecker(List<Pool> pools, Map<ServerGroup, Long> serverMemory, FaultList faults) {
        this.pools = pools;
        this.serverMemory = serverMemory;
        this.faults = faults;
    }

    void check() {
        TableChecker.checkUnique(
                "pools", pools.stream().map(pool -> pool.name().value()).toList(), faults);
        for (int index = 0; index < pools.size(); index++) {
            checkPool("$.pools[" + index + "]", pools.get(index));
        }
    }

    private void checkPool(String path, Pool pool) {
        faults.require(
                pool.coldStartWeight() >= 0 && Double.isFinite(pool.coldStartWeight()),
                path + ".coldStartWeight",
                pool.coldStartWeight(),
                "use a number of at least 0");
        faults.require(
                pool.standbySlots() >= 0,
                path + ".standbySlots",
                pool.standbySlots(),
                "use at least 0");
        faults.require(
                pool.queueLimit() >= 1, path + ".queueLimit", pool.queueLimit(), "use at least 1");
        faults.require(
                !pool.artifacts().isEmpty(),
                path + ".artifacts",
                "no artifact",
                "list at least one model or remove the pool");
        Map<ArtifactId, ArtifactLimit> limits = new HashMap<>();
        pool.artifacts().forEach(limit -> limits.putIfAbsent(limit.artifact(), limit));
        for (int index = 0; index < pool.artifacts().size(); index++) {
            String artifactPath = path + ".artifacts[" + index + "]";
            ArtifactLimit limit = pool.artifacts().get(index);
            checkLimit(artifactPath, limit);
            checkBaseModel(artifactPath, limit, limits);
            checkUniqueInGroup(artifactPath, pool, limit);
        }
        checkMemory(path, pool);
    }

    private void checkLimit(String path, ArtifactLimit limit) {
        faults.require(
                limit.memoryBytes() > 0,
                path + ".memoryBytes",
                limit.memoryBytes(),
                "state the accelerator memory it occupies, in bytes");
        faults.require(
                limit.minimumReplicas() >= 0,
                path + ".minimumReplicas",
                limit.minimumReplicas(),
                "use at least 0");
        faults.require(
                limit.maximumReplicas() >= 1,
                path + ".maximumReplicas",
                limit.maximumReplicas(),
                "use at least 1");
        faults.require(
                limit.minimumReplicas() <= limit.maximumReplicas(),
                path + ".minimumReplicas",
                limit.minimumReplicas() + " with maximumReplicas " + limit.maximumReplicas(),
                "use at most maximumReplicas");
    }

    private void checkBaseModel(
            String path, ArtifactLimit limit, Map<ArtifactId, ArtifactLimit> limits) {
        if (limit.baseModel().isEmpty()) {
            return;
        }
        ArtifactId base = limit.baseModel().get();
        ArtifactLimit baseLimit = limits.get(base);
        if (baseLimit == null) {
            faults.add(
                    path + ".baseModel",
                    "'" + base + "' is not in this pool",
                    "add the base model to the pool or correct its name and version");
        } else if (baseLimit.isAdapter()) {
            faults.add(
                    path + ".baseModel",
                    "'" + base + "' is itself an adapter",
                    "name the model that the adapter applies to");
        }
    }

    /** Slots belong to the group, so two pools of one group cannot both limit an artifact. */
    private void checkUniqueInGroup(String path, Pool pool, ArtifactLimit limit) {
        Map<ArtifactId, String> artifactPaths =
                artifactPathsByGroup.computeIfAbsent(pool.group(), group -> new HashMap<>());
        String earlierPath = artifactPaths.putIfAbsent(limit.artifact(), path);
        if (earlierPath != null) {
            faults.add(
                    path + ".artifact",
                    "'" + limit.artifact() + "' is also at " + earlierPath + " in the same group",
                    "list each artifact once in the pools of a server group");
        }
    }

    private void checkMemory(String path, Pool pool) {
        Long memory = serverMemory.get(pool.group());
        OptionalLong smallest =
                pool.artifacts().stream()
                        .filter(limit -> !limit.isAdapter())
                        .mapToLong(ArtifactLimit::memoryBytes)
                        .min();
        if (memory != null && smallest.isPresent() && smallest.getAsLong() > memory) {
            faults.add(
                    path + ".artifacts",
                    "the smallest model needs "
                            + smallest.getAsLong()
                            + " bytes, the largest server of group '"
                            + pool.group()
                            + "' has "
                            + memory,
                    "use a group with larger servers or correct memoryBytes");
        }
    }
}
