package org.tarragonlug.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;

/**
 * The models and adapters of one pool of a deployment.
 *
 * @param name name of the pool and prefix of its models
 * @param models number of models
 * @param adapters number of adapters, spread over the models
 */
record DeploymentPool(String name, int models, int adapters) {
    private static final long GIB = 1L << 30;

    /**
     * Model sizes in GiB. They are assigned to the models in this order and repeat; a server with
     * 24 GiB holds about five models.
     */
    private static final int[] MODEL_SIZES = {3, 4, 6, 4, 8, 5, 3};

    private static final long ADAPTER_BYTES = GIB / 8;
    private static final int MAXIMUM_MODEL_REPLICAS = 2;

    /** Equals the limit for models, because each replica of a base model may hold the adapter. */
    private static final int MAXIMUM_ADAPTER_REPLICAS = 2;

    String modelName(int index) {
        return name + "-model-" + (index + 1);
    }

    String adapterName(int index) {
        return name + "-adapter-" + (index + 1);
    }

    List<ArtifactLimit> artifacts() {
        List<ArtifactLimit> limits = new ArrayList<>();
        for (int index = 0; index < models; index++) {
            ArtifactId id = new ArtifactId(modelName(index), "1");
            long bytes = MODEL_SIZES[index % MODEL_SIZES.length] * GIB;
            limits.add(new ArtifactLimit(id, Optional.empty(), bytes, 0, MAXIMUM_MODEL_REPLICAS));
        }
        for (int index = 0; index < adapters; index++) {
            ArtifactId id = new ArtifactId(adapterName(index), "1");
            Optional<ArtifactId> base = Optional.of(new ArtifactId(modelName(index % models), "1"));
            limits.add(new ArtifactLimit(id, base, ADAPTER_BYTES, 0, MAXIMUM_ADAPTER_REPLICAS));
        }
        return limits;
    }

    List<String> artifactNames() {
        return artifacts().stream().map(limit -> limit.artifact().name()).toList();
    }
}
