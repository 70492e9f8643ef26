package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;

/** An order of this process: whether it has left, and what is known of its end. */
final class OwnOrder {
    /**
     * Longest time after which the bytes of a closed connection are assumed to be still executed
     * (docs/design.md, section 3.2).
     */
    static final Duration LATE_DELIVERY_LIMIT = Duration.ofSeconds(60);

    /** Progress of the turn at the weight store. */
    enum Turn {
        NOT_REQUESTED,
        REQUESTED,
        GRANTED
    }

    final Order order;
    final boolean unrecorded;
    Turn turn = Turn.NOT_REQUESTED;
    Instant turnTime = Instant.MIN;
    boolean inFlight;
    boolean everSent;
    OrderOutcome outcome;
    Instant sentAt = Instant.MIN;
    Instant nextSend = Instant.MIN;
    Instant lateDeliveryUntil = Instant.MIN;
    int failedSends;

    OwnOrder(Order order, boolean unrecorded) {
        this.order = order;
        this.unrecorded = unrecorded;
    }

    boolean isLoad() {
        return order.kind() == OrderKind.LOAD;
    }

    /** Tells whether the last sending ended with a definite answer. */
    boolean hasAnswer() {
        return !inFlight && outcome != null && outcome != OrderOutcome.UNKNOWN;
    }

    /** Tells whether no copy of the order can reach the engine any more, given the last answer. */
    boolean isResolved(Instant now) {
        return hasAnswer() && !now.isBefore(lateDeliveryUntil);
    }

    void onSent(Instant now) {
        inFlight = true;
        everSent = true;
        sentAt = now;
    }

    void onEnded(OrderOutcome how, Instant now) {
        inFlight = false;
        outcome = how;
        turn = Turn.NOT_REQUESTED;
        if (how == OrderOutcome.UNKNOWN) {
            lateDeliveryUntil = now.plus(LATE_DELIVERY_LIMIT);
        }
        if (how == OrderOutcome.DONE) {
            failedSends = 0;
        } else {
            failedSends = Math.min(failedSends + 1, 5);
            nextSend = now.plusMillis(500L << failedSends);
        }
    }
}
