package org.tarragonlug.weightstore;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * The weight store. Engines load from it; this system only lists checkpoints and watches its load.
 *
 * <p>Stages fail with {@code WEIGHT_STORE_UNAVAILABLE}.
 */
public interface WeightStore {
    /** Lists the checkpoints that exist. */
    CompletionStage<List<Checkpoint>> checkpoints();

    /** Returns how busy the store is. */
    CompletionStage<WeightStoreLoad> load();
}
