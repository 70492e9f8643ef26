package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The limit of the requests in flight at one run of a server that has started or recovered.
 *
 * <p>The limit holds for all instances together. Each instance estimates it on its own and uses its
 * equal share, rounded up or down at a point that differs between instances, so that the rounded
 * shares of all instances add up to the limit: a limit of 4 lets about 4 of 300 instances send one
 * request each. No further request is sent while the totals show that the limit is reached.
 *
 * <p>The limit starts at a quarter of the slots. An instance that has answers of the server
 * compares their times with those of other servers. While they are as fast, it doubles the limit
 * once per {@link #ROUND}, which is longer than the time in which an overload shows in short
 * answers; while they are slower, the limit stays; when they are much slower, or requests are
 * rejected or lost, it is halved. The growth is exponential since the right limit is unknown over
 * two orders of magnitude, and the decrease is since a queue that has formed must empty.
 *
 * <p>An instance without answers follows the totals, which rise when instances with answers raise
 * the limit, and otherwise doubles the limit slowly, faster while the totals show that less than
 * half of it is used. Hence an instance whose share is rounded to nothing does not stay excluded.
 * After a pause, whose end the server itself has chosen, the limit grows quickly without answers.
 *
 * <p>The limit ends when it exceeds the slots and as many waiting requests, when it does not bind
 * any more, or, after a failed connection, when the server has nearly as many requests as
 * comparable servers, since the connection of one instance may fail while all others use the
 * server. A server that stays slower for {@link #SLOW_START_TIME} is taken for a slow machine: its
 * times are no reason for a limit any more.
 *
 * <p>A failed connection sets the limit to zero for a time that doubles with each failure, and lets
 * it start anew after that. Until the server answers, each instance may then send one request,
 * whatever its share: the planner learns from the failed connections of several instances that a
 * server is lost, and would take it for a sound one if most instances did not try. The class has no
 * clock; callers advance it.
 */
final class AdaptiveLimit {
    /** The least time between two increases or decreases of the limit. */
    private static final Duration ROUND = Duration.ofMillis(250);

    /** Time between two increases by an instance that has no answers of the server. */
    private static final Duration ROUND_WITHOUT_ANSWERS = Duration.ofSeconds(2);

    /** As {@link #ROUND_WITHOUT_ANSWERS}, while less than half of the limit is used. */
    private static final Duration UNUSED_ROUND = Duration.ofSeconds(1);

    /** How long answers of the server count as known. */
    private static final Duration EVIDENCE_VALIDITY = Duration.ofSeconds(2);

    /** Time after which a total counts as unknown. Totals are announced every 0.4 s. */
    private static final Duration TOTAL_VALIDITY = Duration.ofMillis(1500);

    /** Time within which a starting server becomes as fast as others, or is a slow machine. */
    private static final Duration SLOW_START_TIME = Duration.ofSeconds(10);

    /** Time for which a limit must not bind before it ends. */
    private static final Duration UNBOUND_TIME = Duration.ofSeconds(3);

    /** Time for which a server must have its usual requests before a limit ends because of it. */
    private static final Duration SETTLED_TIME = Duration.ofSeconds(1);

    /**
     * How long requests that only this server can run wait for their share after a pause. The limit
     * doubles four times in it and reaches four times the slots.
     */
    static final Duration RETURN_TIME = Duration.ofSeconds(1);

    /**
     * How long a server receives no requests after a connection to it failed or another server
     * answered at its address. The wait doubles with each further failure.
     */
    private static final Duration FIRST_WAIT = Duration.ofMillis(700);

    private static final Duration MAX_WAIT = Duration.ofMillis(2800);

    /** The limit at the start, as a share of the slots. */
    private static final double FIRST_SHARE = 0.25;

    /** The least limit at the start: one request may be answered while the next one is sent. */
    private static final double MIN_FIRST = 2;

    /** The limit ends above this multiple of the slots: as many requests wait as run. */
    private static final double FULL_SHARE = 2;

    /** Share of the usual requests of comparable servers at which the limit ends. */
    private static final double SETTLED_SHARE = 0.75;

    /** Weight of an answer after the first one; half of the weight lies on the last two. */
    private static final double ANSWER_WEIGHT = 0.3;

    /** Mean logarithm of the time, relative to comparable servers, up to which the limit grows. */
    private static final double FAST = Math.log(2);

    /** Mean logarithm of the relative time from which on the limit decreases. */
    private static final double SLOW = Math.log(3);

    private final double roundingPoint;
    private final int slots;
    private Optional<LimitCause> cause = Optional.empty();
    private Instant begunAt = Instant.EPOCH;
    private double limit;
    private Instant roundEnd = Instant.EPOCH;
    private Instant grownAt = Instant.EPOCH;
    private Instant boundAt = Instant.EPOCH;
    private Instant unsettledAt = Instant.EPOCH;

    private double slowness;
    private boolean answered;
    private boolean failed;
    private Instant evidenceAt = Instant.EPOCH;

    private double othersInFlight;
    private Instant totalAt = Instant.EPOCH;

    private Instant blockedUntil = Instant.EPOCH;
    private Duration nextWait = FIRST_WAIT;

    /** Whether the server has not answered since the last failed connection. */
    private boolean unconfirmed;

    /**
     * Creates a limit that is not in force.
     *
     * @param roundingPoint number from 0 up to but not including 1 that is spread evenly over the
     *     instances; larger values round this instance's share up sooner
     * @param slots maximum number of requests that the server processes at the same time
     */
    AdaptiveLimit(double roundingPoint, int slots) {
        this.roundingPoint = roundingPoint;
        this.slots = Math.max(1, slots);
    }

    /** Puts the limit into force from a time on, which may lie ahead, and starts it low. */
    void begin(LimitCause newCause, Instant from) {
        cause = Optional.of(newCause);
        limit = firstLimit();
        slowness = 0;
        answered = false;
        failed = false;
        evidenceAt = Instant.EPOCH;
        startAt(from);
    }

    private double firstLimit() {
        return Math.max(MIN_FIRST, FIRST_SHARE * slots);
    }

    /** Begins a limit at half of what the server has, because it makes no progress. */
    void beginSlow(double inFlight, Instant now) {
        begin(LimitCause.SLOW, now);
        limit = Math.max(limit, inFlight / 2);
        recordFailure(now);
    }

    private void startAt(Instant from) {
        begunAt = from;
        roundEnd = from.plus(ROUND);
        grownAt = from;
        boundAt = from;
        unsettledAt = from;
    }

    /** Moves the beginning to the present: the server cannot be used yet. */
    void defer(Instant now) {
        startAt(now);
    }

    /** Returns why requests are limited at a time; empty if they are not. */
    Optional<LimitCause> cause(Instant now) {
        return cause.filter(each -> !now.isBefore(begunAt));
    }

    /** Returns the cause of the limit, also while it is zero after a failed connection. */
    Optional<LimitCause> reportedCause(Instant now) {
        return cause.filter(each -> isBlocked(now) || !now.isBefore(begunAt));
    }

    /** Tells whether no limit is in force or about to begin. */
    boolean isUnused() {
        return cause.isEmpty();
    }

    /**
     * Returns the limit in requests in flight over all instances; 0 while the server is blocked
     * after a failed connection. Only meaningful while {@link #reportedCause} is present.
     */
    double limit(Instant now) {
        return isBlocked(now) ? 0 : limit;
    }

    /**
     * Tells whether this instance may send one more request.
     *
     * @param inFlight requests that this instance has at the server
     * @param instances number of instances that share the limit
     */
    boolean hasRoom(int inFlight, int instances, Instant now) {
        if (cause(now).isEmpty()) {
            return true;
        }
        if (unconfirmed && inFlight == 0) {
            return true;
        }
        return inFlight < Math.floor(limit / instances + roundingPoint)
                && total(inFlight, now) < limit;
    }

    /** Tells whether a request that only this server can run may exceed the limit. */
    boolean yields(Instant now) {
        return cause.filter(each -> !each.yields()).isEmpty()
                || !now.isBefore(begunAt.plus(RETURN_TIME));
    }

    private double total(int inFlight, Instant now) {
        return inFlight + (isTotalKnown(now) ? othersInFlight : 0);
    }

    private boolean isTotalKnown(Instant now) {
        return now.isBefore(totalAt.plus(TOTAL_VALIDITY));
    }

    /**
     * Records an answer of the server.
     *
     * @param relativeTime its time, divided by the usual time of comparable servers; 1 if unknown
     */
    void recordAnswer(double relativeTime, Instant now) {
        if (cause(now).isEmpty()) {
            return;
        }
        double weight = evidenceAt.equals(Instant.EPOCH) ? 1 : ANSWER_WEIGHT;
        slowness += weight * (Math.log(relativeTime) - slowness);
        answered = true;
        evidenceAt = now;
    }

    /** Records that the server rejected or lost a request, or makes no progress with one. */
    void recordFailure(Instant now) {
        if (cause(now).isPresent()) {
            slowness = Math.max(slowness, SLOW);
            failed = true;
            evidenceAt = now;
        }
    }

    /** Records the requests of other instances at the server, as last announced or stated. */
    void recordOthers(double inFlight, Instant now) {
        othersInFlight = inFlight;
        totalAt = now;
    }

    /**
     * Applies the time that has passed.
     *
     * @param inFlight requests that this instance has at the server
     * @param instances number of instances that share the limit
     * @param usualTotal requests that comparable servers have from all instances; 0 if unknown
     */
    void advance(int inFlight, int instances, double usualTotal, Instant now) {
        if (cause(now).isEmpty()) {
            return;
        }
        if (!hasRoom(inFlight, instances, now)) {
            boundAt = now;
        }
        if (!isTotalKnown(now) || total(inFlight, now) < Math.max(1, SETTLED_SHARE * usualTotal)) {
            unsettledAt = now;
        }
        followOthers(inFlight, now);
        while (!now.isBefore(roundEnd)) {
            endRound(inFlight, now);
            roundEnd = roundEnd.plus(ROUND);
        }
        if (hasEnded(now)) {
            cause = Optional.empty();
        }
    }

    private void followOthers(int inFlight, Instant now) {
        if (!hasEvidence(now) && isTotalKnown(now)) {
            limit = Math.max(limit, total(inFlight, now));
        }
    }

    private boolean hasEvidence(Instant now) {
        return now.isBefore(evidenceAt.plus(EVIDENCE_VALIDITY));
    }

    private void endRound(int inFlight, Instant now) {
        if (failed || answered && slowness >= SLOW && !isSlowMachine(now)) {
            limit = Math.max(1, limit / 2);
            grownAt = roundEnd;
        } else if (hasEvidence(now) && slowness <= FAST) {
            grow();
        } else if (!hasEvidence(now) || isSlowMachine(now)) {
            growWithoutAnswers(inFlight, now);
        }
        answered = false;
        failed = false;
    }

    private boolean isSlowMachine(Instant now) {
        return !now.isBefore(begunAt.plus(SLOW_START_TIME));
    }

    private void growWithoutAnswers(int inFlight, Instant now) {
        if (!roundEnd.isBefore(grownAt.plus(blindRound(inFlight, now)))) {
            grow();
        }
    }

    private Duration blindRound(int inFlight, Instant now) {
        if (isCause(LimitCause.PAUSE)) {
            return ROUND;
        }
        return total(inFlight, now) < limit / 2 ? UNUSED_ROUND : ROUND_WITHOUT_ANSWERS;
    }

    private void grow() {
        limit *= 2;
        grownAt = roundEnd;
    }

    private boolean isCause(LimitCause other) {
        return cause.filter(each -> each == other).isPresent();
    }

    private boolean hasEnded(Instant now) {
        boolean settled = !now.isBefore(unsettledAt.plus(SETTLED_TIME));
        boolean unbound = !now.isBefore(boundAt.plus(UNBOUND_TIME));
        return limit > FULL_SHARE * slots
                || unbound && (isSlowMachine(now) || !hasEvidence(now) || slowness < SLOW)
                || settled && !hasEvidence(now) && isCause(LimitCause.UNREACHABLE);
    }

    /** Sets the limit to zero for a while, because a connection to the server failed. */
    void block(Instant now) {
        if (isBlocked(now)) {
            return;
        }
        unconfirmed = true;
        blockedUntil = now.plus(nextWait);
        nextWait = nextWait.multipliedBy(2);
        nextWait = nextWait.compareTo(MAX_WAIT) > 0 ? MAX_WAIT : nextWait;
        if (!isCause(LimitCause.PAUSE) || begunAt.isBefore(blockedUntil)) {
            begin(LimitCause.UNREACHABLE, blockedUntil);
        }
    }

    /** Ends the wait after failed connections, because the server has answered. */
    void unblock(Instant now) {
        if (isBlocked(now) && isCause(LimitCause.UNREACHABLE)) {
            startAt(now);
        }
        blockedUntil = Instant.EPOCH;
        nextWait = FIRST_WAIT;
        unconfirmed = false;
    }

    /** Tells whether the limit is zero after a failed connection. */
    boolean isBlocked(Instant now) {
        return now.isBefore(blockedUntil);
    }
}
