package org.tarragonlug.decision.quota;

import java.time.Duration;

/** What becomes of a request that needs allowance. */
public sealed interface TakeResult {
    /**
     * The request may run.
     *
     * @param charge what it has taken, to be returned if it has not run
     */
    record Taken(QuotaCharge charge) implements TakeResult {}

    /** The request must wait for a grant; the lender should be asked at once. */
    record Wait() implements TakeResult {}

    /**
     * The request must be refused.
     *
     * @param retryAfter time until there will be room
     */
    record Refused(Duration retryAfter) implements TakeResult {}
}
