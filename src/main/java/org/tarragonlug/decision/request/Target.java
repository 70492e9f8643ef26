package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.PoolName;

/**
 * Where requests of one kind wait: an artifact of a pool, or a plain service.
 *
 * <p>The waiting time is estimated from the gaps between dispatches while there was a backlog. This
 * covers whatever shares the servers, which the number of servers alone does not.
 */
final class Target {
    private static final double GAP_WEIGHT = 0.02;
    private static final double DURATION_WEIGHT = 0.05;

    /** Assumed number in flight of a model that is loading. */
    private static final int ASSUMED_IN_FLIGHT = 32;

    /** Assumed time of an answer while none was measured, milliseconds. */
    private static final double ASSUMED_ANSWER_MILLIS = 1_000;

    /**
     * Allowance on the estimated wait. A request refused at once can be sent elsewhere, one that
     * was admitted in vain has wasted its time and often that of a server.
     */
    private static final double EXPECTED_WAIT_FACTOR = 1.5;

    /** Reported as the earliest deadline while nothing waits. */
    private static final Duration NO_WAITING_REQUEST_DEADLINE = Duration.ofDays(1);

    /** Empty for a plain service. */
    final Optional<PoolName> pool;

    /** Null for a plain service. */
    final ArtifactId artifact;

    final Replicas replicas;
    final WaitingQueue queue = new WaitingQueue();

    /** Suspects, which wait for a server of their own and must not block the others. */
    final RequestList suspects = new RequestList();

    /** Milliseconds from sending to the end of the answer. */
    final Average answerMillis = new Average(DURATION_WEIGHT);

    /** Milliseconds from sending to the first token, or to the answer of a plain service. */
    final Average firstProgressMillis = new Average(DURATION_WEIGHT);

    int running;
    int arrivals;
    TimerHeap.Timer demandTimer;
    Instant demandReportedAt = Instant.MIN;

    private final Average dispatchGapMillis = new Average(GAP_WEIGHT);
    private Instant backloggedSince;

    Target(Optional<PoolName> pool, ArtifactId artifact, Replicas replicas) {
        this.pool = pool;
        this.artifact = artifact;
        this.replicas = replicas;
    }

    int waiting() {
        return queue.size() + suspects.size();
    }

    boolean hasDemand() {
        return waiting() > 0 || running > 0 || arrivals > 0;
    }

    /**
     * Notes that a request left the queue for a server.
     *
     * @param slowStart whether the server's limit grows fast; what is sent beyond the answers then is
     *     no measure of the pace to expect
     */
    void recordDispatch(boolean slowStart, Instant now) {
        boolean measured = backloggedSince != null && !(slowStart && backloggedSince.equals(now));
        if (measured) {
            dispatchGapMillis.add(millis(backloggedSince, now));
        }
        backloggedSince = queue.size() > 0 ? now : null;
    }

    /** Notes that the queue found no room at the ready servers. */
    void markBacklogged(Instant now) {
        if (backloggedSince == null && queue.size() > 0) {
            backloggedSince = now;
        }
    }

    /** Notes that no server is ready, so that the gap until the next dispatch says nothing. */
    void clearBacklogStart() {
        backloggedSince = null;
    }

    /** Estimates how long a request of a route waits that arrives now. */
    Duration expectedWait(Route route, Priority priority, Instant now) {
        double wait = 0;
        if (!replicas.hasUsableServer()) {
            wait = replicas.expectedReadyAt.map(ready -> Math.max(0, millis(now, ready))).orElse(0.0);
        }
        if (queue.size() > 0) {
            int ahead = queue.countAhead(route, priority);
            wait += (ahead + 1) * dispatchGapMillis.valueOr(assumedDispatchGap()) * EXPECTED_WAIT_FACTOR;
        }
        return Duration.ofNanos((long) (wait * 1e6));
    }

    Demand demand(Instant now) {
        Instant[] earliest = {now.plus(NO_WAITING_REQUEST_DEADLINE)};
        Priority[] highest = {Priority.BATCH};
        Consumer<PendingRequest> consider =
                request -> {
                    if (request.deadline.isBefore(earliest[0])) {
                        earliest[0] = request.deadline;
                    }
                    if (request.priority.compareTo(highest[0]) < 0) {
                        highest[0] = request.priority;
                    }
                };
        queue.forEach(consider);
        for (PendingRequest r = suspects.first(); r != null; r = r.nextInList) {
            consider.accept(r);
        }
        return new Demand(artifact, waiting(), running, arrivals, earliest[0], highest[0]);
    }

    private double assumedDispatchGap() {
        int limit = 0;
        for (BackendServer server : replicas.ready) {
            limit += server.isUsable() ? server.limit.value() : 0;
        }
        if (limit == 0) {
            // A cold model: nothing is known about the servers it will get, and it may be the
            // first burst, which must not be refused on a guess.
            return answerMillis.valueOr(0) / ASSUMED_IN_FLIGHT;
        }
        return answerMillis.valueOr(ASSUMED_ANSWER_MILLIS) / limit;
    }

    private static double millis(Instant from, Instant to) {
        return Duration.between(from, to).toNanos() / 1e6;
    }
}
