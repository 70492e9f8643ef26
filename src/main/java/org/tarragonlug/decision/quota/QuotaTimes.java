package org.tarragonlug.decision.quota;

import java.time.Duration;

/** The times on which the bound of {@link QuotaPlan} rests. */
final class QuotaTimes {
    /**
     * How long a grant can be spent, from the sending of its request on the clock of the borrower.
     * Longer than the regular interval of reports, so that allowance requested in advance lasts
     * until the next grant.
     */
    static final Duration GRANT_LIFETIME = Duration.ofMillis(600);

    /** How long a request waits for a grant. */
    static final Duration MAX_WAIT = Duration.ofMillis(60);

    /**
     * How long the process may stand still without consequences. Requests that arrived in a longer
     * pause are read late, and would be charged to a window that has ended.
     */
    static final Duration MAX_STALL = Duration.ofMillis(300);

    /** How long after a longer pause requests are refused, because they may have arrived in it. */
    static final Duration STALL_RECOVERY = Duration.ofMillis(100);

    /** The longest time between two reports of a borrower for which the lender is credited. */
    static final Duration MAX_CREDIT = Duration.ofMillis(600);

    /**
     * How long a borrower counts towards the burst of its lender after its last report. A borrower
     * that changes its lender, or starts, reports to none for this time.
     */
    static final Duration BORROWER_RETENTION = Duration.ofMillis(800);

    /** A lender counts as lost when it has not answered for this long. */
    static final Duration LENDER_TIMEOUT = Duration.ofMillis(1500);

    private QuotaTimes() {}

    static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
