package org.tarragonlug.decision.watching;

import java.time.Duration;
import java.time.Instant;

/**
 * Tells whether entries may be missing from the store only because it was out of reach.
 *
 * <p>The entry of a server disappears when the server has not written it for three report
 * intervals. During an outage of the store servers cannot write, so entries of running servers may
 * be missing after it; they are back within about two seconds. An entry that is missing for another
 * reason names a server that is gone, and must not be used any longer than allowed.
 *
 * <p>Only an outage of two report intervals or more can remove the entry of a server that reports
 * on time. The loss of a watch is no sign of an outage: the store may cut off watches that wait,
 * and connections may break. An outage is therefore assumed only if a list failed as well, and if
 * no call was answered for two report intervals.
 *
 * <p>The instance cannot tell an outage of the store from a cut of its own path. After a cut, the
 * entry may have been removed while the store worked, and the time allowed for that runs from the
 * end of the cut. The end is later than the beginning of the last call that failed, so missing
 * entries are kept until the allowed time after that beginning at most.
 */
public final class StoreOutage {
    /** How long after an outage running servers may take to write their entries again. */
    private static final Duration REWRITE_TIME = Duration.ofMillis(2300);

    /** Part of the allowed time for requests that are being sent when an entry is dropped. */
    private static final Duration SENDING_TIME = Duration.ofMillis(200);

    /** Report intervals in an outage that can remove an entry. */
    private static final int INTERVALS_WITHOUT_REPORT = 2;

    private final WatchLimits limits;

    /** Before the first answer no entry is known, so none can be missing. */
    private Instant lastAnswerAt = Instant.EPOCH;

    private Instant lastFailedListBegan = Instant.MIN;

    /** When the store was last found to run from another copy than before. */
    private Instant restoredAt = Instant.EPOCH;

    /**
     * Creates the state of an instance that has not asked the store yet.
     *
     * @param limits what the platform allows
     */
    public StoreOutage(WatchLimits limits) {
        this.limits = limits;
    }

    /** Records that the store has answered a watch or a list. */
    public void onAnswered(Instant now) {
        lastAnswerAt = now;
        lastFailedListBegan = Instant.MIN;
    }

    /** Records that a list has failed. */
    public void onListFailed(Instant began) {
        lastFailedListBegan = began;
    }

    /**
     * Records that the store runs from an older copy, which lacks the entries of servers that
     * started after it. Running servers write them again.
     */
    public void onStoreRestored(Instant now) {
        restoredAt = now;
    }

    /**
     * Returns until when entries must be kept that are missing from a list that was just answered;
     * not after {@code now} if they name servers that are gone. Must be called before {@link
     * #onAnswered}.
     */
    public Instant keepMissingUntil(Instant now) {
        Instant afterOutage = keepAfterOutage(now);
        Instant afterRestore = restoredAt.plus(REWRITE_TIME);
        return afterOutage.isAfter(afterRestore) ? afterOutage : afterRestore;
    }

    private Instant keepAfterOutage(Instant now) {
        Duration shortest = limits.reportInterval().multipliedBy(INTERVALS_WITHOUT_REPORT);
        boolean listFailed = !lastFailedListBegan.equals(Instant.MIN);
        if (!listFailed || now.isBefore(lastAnswerAt.plus(shortest))) {
            return now;
        }
        Instant allowed = lastFailedListBegan.plus(limits.silenceLimit()).minus(SENDING_TIME);
        Instant rewritten = now.plus(REWRITE_TIME);
        return allowed.isBefore(rewritten) ? allowed : rewritten;
    }
}
