package org.tarragonlug.decision.watching;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.id.StoreEra;

/**
 * Knows the present era of the store, from what the store states in its answers.
 *
 * <p>A higher era takes effect at once. An answer with a lower one is mostly late: its call began
 * before this instance learnt of the present era. If calls that began later are answered with a
 * lower era as well, and only with such, the present era was stated by mistake, and the lower one
 * takes effect after {@link #CONTRADICTION_TIME}. So one wrong answer does not keep an instance
 * from its store.
 *
 * <p>An answer without an era belongs to the present one: it comes from a store that states none.
 */
public final class StoreEraTracker {
    /** How long all answers must state a lower era until that is believed. */
    static final Duration CONTRADICTION_TIME = Duration.ofSeconds(2);

    /** What the era of an answer means. */
    public enum Verdict {
        /** The answer is of the present era. */
        CURRENT,
        /** The answer is the first one, and its era is the present one now. */
        FIRST,
        /** The store runs from another copy than before; the answer's era is the present one. */
        CHANGED,
        /** The answer is from before the present era and tells nothing. */
        OUTDATED
    }

    private StoreEra current = StoreEra.NONE;
    private boolean answered;

    /** When the present era was learnt. */
    private Instant learntAt = Instant.MIN;

    /** Since when all answers have stated a lower era; null if the last one did not. */
    private Instant contradictedSince;

    private Instant lastContradiction = Instant.MIN;

    /** Returns the present era; {@link StoreEra#NONE} if the store has stated none. */
    public StoreEra current() {
        return current;
    }

    /**
     * Judges an answer of the store and learns from it.
     *
     * @param stated the era in the answer
     * @param began when the call began
     * @param now the present time
     */
    public Verdict onAnswer(StoreEra stated, Instant began, Instant now) {
        boolean first = !answered;
        answered = true;
        if (!stated.isStated()) {
            return Verdict.CURRENT;
        }
        if (stated.equals(current)) {
            contradictedSince = null;
            return Verdict.CURRENT;
        }
        if (stated.compareTo(current) < 0 && !isContradicted(began, now)) {
            return Verdict.OUTDATED;
        }
        current = stated;
        learntAt = now;
        contradictedSince = null;
        return first ? Verdict.FIRST : Verdict.CHANGED;
    }

    /**
     * Records an answer with a lower era; returns whether it shows that the present era is wrong.
     */
    private boolean isContradicted(Instant began, Instant now) {
        if (began.isBefore(learntAt)) {
            return false;
        }
        boolean again =
                contradictedSince != null
                        && now.isBefore(lastContradiction.plus(CONTRADICTION_TIME));
        contradictedSince = again ? contradictedSince : now;
        lastContradiction = now;
        return !now.isBefore(contradictedSince.plus(CONTRADICTION_TIME));
    }
}
