package org.tarragonlug.decision.placement;

import java.time.Instant;
import org.tarragonlug.id.ModelKey;

/**
 * An order that a server was given.
 *
 * @param action what it asks for
 * @param key the model, or the adapter
 * @param tier where the weights come from; MEMORY for an unload
 * @param precondition orders that the server must have accepted before
 * @param decidedAt when it was decided
 * @param sentAt when it was sent last
 * @param expectedEnd when its effect is expected
 * @param accepted whether the server has accepted it
 */
public record PlannedOrder(
        OrderAction action,
        ModelKey key,
        CopyTier tier,
        long precondition,
        Instant decidedAt,
        Instant sentAt,
        Instant expectedEnd,
        boolean accepted) {
    PlannedOrder asAccepted(Instant end) {
        return new PlannedOrder(action, key, tier, precondition, decidedAt, sentAt, end, true);
    }

    /** Tells whether it loads a model from the weight store. */
    boolean usesWeightStore() {
        return action == OrderAction.LOAD && !key.hasAdapter() && tier == CopyTier.REMOTE;
    }
}
