package org.tarragonlug.weightstore;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * The weight store. Engines load models from it; this system only lists the checkpoints and reads
 * the load of the store.
 *
 * <p>The returned stages fail with {@code WEIGHT_STORE_UNAVAILABLE} if the store cannot be reached
 * or its answer is malformed.
 */
public interface WeightStore {
    /** Returns all checkpoints in the store. */
    CompletionStage<List<Checkpoint>> checkpoints();

    /** Returns the current load of the store. */
    CompletionStage<WeightStoreLoad> load();
}
