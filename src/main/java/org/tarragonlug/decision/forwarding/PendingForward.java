package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** A request that has not ended; owned by the coordinator. */
final class PendingForward {
    /** Where the request is. */
    enum State {
        /** Waits for a server. */
        WAITING,
        /** A server has it and has not begun to answer. */
        SENT,
        /** Events of its stream are being passed on. */
        STREAMING
    }

    final ForwardRequest request;
    final ForwardingRoute route;
    final ServiceName service;
    final Instant arrivedAt;
    final Instant deadline;

    /** When a caller that has got nothing stops waiting. */
    final Instant patienceEnd;

    final Set<ServerId> excluded = new HashSet<>();
    State state = State.WAITING;
    FleetServer server;

    /** Sends that have run or may have run. */
    int possibleRuns;

    int rejections;
    boolean streamStarted;
    boolean stallCounted;
    long lastEventId;
    Instant lastProgress;
    Instant connectionBrokenAt = Instant.EPOCH;
    Instant waitingReportedAt = Instant.EPOCH;

    PendingForward(
            ForwardRequest request,
            ForwardingRoute route,
            ServiceName service,
            Instant deadline,
            Instant patienceEnd,
            Instant now) {
        this.request = request;
        this.route = route;
        this.service = service;
        this.arrivedAt = now;
        this.deadline = deadline;
        this.patienceEnd = patienceEnd;
        this.lastEventId = request.lastEventId();
        this.lastProgress = now;
    }

    /** Tells whether nothing has run and nothing has been passed on. */
    boolean notRun() {
        return possibleRuns == 0 && !streamStarted;
    }

    /** Tells whether it may be sent once more. */
    boolean mayRunAgain() {
        return possibleRuns == 0 || route.retryable() && possibleRuns < route.maximumAttempts();
    }
}
