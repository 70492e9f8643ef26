package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;

/** An order of this process: whether it was sent, and its outcome as far as it is known. */
final class OwnOrder {
    /**
     * Assumed maximum time after the closing of a connection during which an order that was sent on
     * it may still be executed (docs/design.md, section 3.2).
     */
    static final Duration LATE_DELIVERY_LIMIT = Duration.ofSeconds(60);

    /** State of the turn at the weight store. */
    enum Turn {
        NOT_REQUESTED,
        REQUESTED,
        GRANTED
    }

    final Order order;

    /**
     * Whether the order is sent although it is not open in the record: a use of a standby slot, or
     * the unload of an artifact that the record does not cover.
     */
    final boolean unrecorded;

    Turn turn = Turn.NOT_REQUESTED;

    /** Time of the request while the turn is requested; expiry of the turn once it is granted. */
    Instant turnTime = Instant.MIN;

    boolean inFlight;
    boolean everSent;
    OrderOutcome outcome;
    Instant sentAt = Instant.MIN;
    Instant nextSend = Instant.MIN;

    /** Time until which an earlier transmission without an answer may still be delivered. */
    Instant lateDeliveryUntil = Instant.MIN;

    int failedSends;

    OwnOrder(Order order, boolean unrecorded) {
        this.order = order;
        this.unrecorded = unrecorded;
    }

    boolean isLoad() {
        return order.kind() == OrderKind.LOAD;
    }

    /** Tells whether the last transmission ended with a known outcome. */
    boolean hasAnswer() {
        return !inFlight && outcome != null && outcome != OrderOutcome.UNKNOWN;
    }

    /**
     * Tells whether the outcome of the last transmission is known and no earlier transmission of
     * the order can reach the engine any more.
     */
    boolean isResolved(Instant now) {
        return hasAnswer() && !now.isBefore(lateDeliveryUntil);
    }

    void onSent(Instant now) {
        inFlight = true;
        everSent = true;
        sentAt = now;
    }

    void onEnded(OrderOutcome newOutcome, Instant now) {
        inFlight = false;
        outcome = newOutcome;
        turn = Turn.NOT_REQUESTED;
        if (newOutcome == OrderOutcome.UNKNOWN) {
            lateDeliveryUntil = now.plus(LATE_DELIVERY_LIMIT);
        }
        if (newOutcome == OrderOutcome.DONE) {
            failedSends = 0;
        } else {
            failedSends = Math.min(failedSends + 1, 5);
            nextSend = now.plusMillis(500L << failedSends);
        }
    }
}
