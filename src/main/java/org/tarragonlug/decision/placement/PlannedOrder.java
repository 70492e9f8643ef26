package org.tarragonlug.decision.placement;

import java.time.Instant;
import org.tarragonlug.id.ModelKey;

/**
 * An order that was given to a server.
 *
 * @param action what the server is asked to do
 * @param key the model, or the model and adapter
 * @param tier source of the weights; MEMORY for an unload order
 * @param precondition number of orders that the server must have accepted before this one
 * @param decidedAt when the planner decided to give the order
 * @param sentAt when the order was last sent
 * @param expectedEnd when the order is expected to take effect
 * @param loadsAtStart number of loads from the weight store in progress when the order was given,
 *     including its own; 0 if it does not use the weight store
 * @param accepted whether the server has accepted the order
 */
public record PlannedOrder(
        OrderAction action,
        ModelKey key,
        CopyTier tier,
        long precondition,
        Instant decidedAt,
        Instant sentAt,
        Instant expectedEnd,
        int loadsAtStart,
        boolean accepted) {
    PlannedOrder asAccepted(Instant end) {
        return new PlannedOrder(
                action, key, tier, precondition, decidedAt, sentAt, end, loadsAtStart, true);
    }

    /** Tells whether two orders are transmissions of the same order. */
    boolean isSameOrder(PlannedOrder other) {
        return action == other.action
                && key.equals(other.key)
                && precondition == other.precondition
                && decidedAt.equals(other.decidedAt);
    }

    /** Tells whether the order loads a model from the weight store. */
    boolean usesWeightStore() {
        return action == OrderAction.LOAD && !key.hasAdapter() && tier == CopyTier.REMOTE;
    }
}
