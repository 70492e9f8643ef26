package org.tarragonlug.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;

/** Creates the models of a deployment with their memory sizes. */
final class ModelCatalogue {
    static final long GIGABYTE = 1_000_000_000L;

    /** Sizes of common open models at 8 or 16 bits per weight, gigabytes. */
    private static final int[] SIZES = {8, 16, 16, 28, 28, 48, 70};

    private ModelCatalogue() {}

    static List<ArtifactLimit> models(int count, Random random) {
        List<ArtifactLimit> models = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            ArtifactId artifact = new ArtifactId("model-" + number, "1");
            long bytes = SIZES[random.nextInt(SIZES.length)] * GIGABYTE;
            models.add(new ArtifactLimit(artifact, Optional.empty(), bytes, 0, 1));
        }
        return models;
    }

    /** Returns a function from a model to the share of an accelerator's memory it occupies. */
    static ToDoubleFunction<ArtifactId> shares(List<ArtifactLimit> models) {
        Map<ArtifactId, Double> shares = new HashMap<>();
        for (ArtifactLimit model : models) {
            shares.put(
                    model.artifact(),
                    model.memoryBytes() / (double) SimulatedServer.ACCELERATOR_BYTES);
        }
        return shares::get;
    }
}
