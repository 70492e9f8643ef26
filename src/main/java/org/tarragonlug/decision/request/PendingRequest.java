package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.RequestId;

/** A request from its admission to its end, with the route that matched it. */
final class PendingRequest {
    /** State of the request. */
    enum State {
        /** The request waits for a server. */
        WAITING,
        /** A server is reserved, and the claim write is outstanding. */
        CLAIMING,
        /** An attempt is in progress. */
        RUNNING,
        /** The last attempt failed, and its server is being checked. */
        VERIFYING,
        /** The request was answered or refused, or its caller disconnected. */
        ENDED
    }

    final RequestId id;
    final RequestDescription description;
    final Route route;
    final RouteUsage usage;
    final Target target;
    final Priority priority;
    final Instant arrivedAt;
    final Instant deadline;
    final Fingerprint fingerprint;
    final long sequence;
    final AnswerStream stream = new AnswerStream();

    State state = State.WAITING;
    TimerHeap.Timer expiryTimer;

    /**
     * The server reserved for the request in state CLAIMING, or being checked in state VERIFYING.
     */
    BackendServer server;

    /** The server at which to resume, provided that it has room. */
    BackendServer preferredServer;

    /** The server of the last failed attempt. It is used only if no other server has room. */
    BackendServer avoidedServer;

    Instant failedAt;

    /**
     * Whether the retry needs no further charge to the retry budget: it was charged already, or it
     * is free because the last attempt made progress.
     */
    boolean retryCharged;

    Attempt attempt;
    int attemptsWithoutProgress;
    boolean attempted;

    /** Whether an attempt was sent that is not known to have been rejected before it ran. */
    boolean mayHaveRun;

    /** Whether the request is a suspect, which runs only on a server that runs no other suspect. */
    boolean isolated;

    /**
     * Whether the caller disconnected. A running attempt with a claim then continues, because its
     * end must still be recorded in the claim.
     */
    boolean callerDisconnected;

    /** Key of the claim, or null if the request needs no claim. */
    ClaimKey claimKey;

    OperationId claimOperation;
    boolean claimHeld;

    RequestList list;
    PendingRequest previousInList;
    PendingRequest nextInList;

    PendingRequest(
            RequestId id,
            RequestDescription description,
            RouteUsage usage,
            Route route,
            Target target,
            Instant arrivedAt,
            Instant deadline,
            Fingerprint fingerprint,
            long sequence) {
        this.id = id;
        this.description = description;
        this.usage = usage;
        this.route = route;
        this.target = target;
        this.priority = description.priority().orElse(route.priority());
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.fingerprint = fingerprint;
        this.sequence = sequence;
    }

    Duration remaining(Instant now) {
        return Duration.between(now, deadline);
    }
}
