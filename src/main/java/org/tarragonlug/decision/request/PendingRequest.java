package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.RequestId;

/** A request from its admission to its end, with the route it was matched with. */
final class PendingRequest {
    /** Where the request is on its path. */
    enum State {
        /** It waits for a server. */
        WAITING,
        /** A server is reserved and the claim is being made. */
        CLAIMING,
        /** An attempt is in progress. */
        RUNNING,
        /** Its attempt failed, and its server is being checked. */
        VERIFYING,
        /** It was answered or refused, or its caller has gone. */
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

    /** The server reserved while claiming, or being checked while verifying. */
    BackendServer server;

    /** The server to resume at, if it has room. */
    BackendServer preferredServer;

    /** The server of the last failed attempt; others are taken first. */
    BackendServer avoidedServer;

    Instant failedAt;

    /** Whether the retry was paid already, or is free because the last attempt made progress. */
    boolean retryCharged;

    Attempt attempt;
    int attemptsWithoutProgress;
    boolean attempted;

    /** Whether an attempt was sent that is not known to have been refused. */
    boolean mayHaveRun;

    /** Whether it runs on a server that runs no other suspect. */
    boolean isolated;

    /** Whether the caller went while a claimed attempt ran, whose end is still to be recorded. */
    boolean callerDisconnected;

    /** The claim's key; null if the request needs none. */
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
