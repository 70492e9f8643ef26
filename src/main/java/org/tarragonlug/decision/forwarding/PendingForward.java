package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.decision.quarantine.LostRequest;
import org.tarragonlug.decision.quota.QuotaCharge;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.id.ServiceName;

/** The state of a request that has not ended. Only the coordinator changes it. */
final class PendingForward {
    /** The progress of a request. */
    enum State {
        /** The request waits for a server. */
        WAITING,
        /** The request was sent to a server that has not begun to answer. */
        SENT,
        /** The events of the server's answer are being relayed to the caller. */
        STREAMING
    }

    /** Time reserved to deliver an answer before the caller's own time limit expires. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(60);

    final ForwardRequest request;
    final ForwardingRoute route;
    final ServiceName service;

    /** Whether servers must not see what the caller stated about its account. */
    boolean credentialRemoved;

    /** The account that the request belongs to; empty if it needs none. */
    final Optional<ClientAccount> account;

    /** What the request has taken of its account's allowance; empty if it has no quota. */
    Optional<QuotaCharge> charge = Optional.empty();

    /** What other requests may have in common with this one. */
    final LostRequest traits;

    final Instant arrivedAt;
    Instant deadline;

    /** The time at which a caller that has received nothing stops waiting. */
    Instant patienceEnd;

    /** Servers that refused or lost the request, so that others are preferred. */
    final Set<ServerId> excluded = new HashSet<>();

    /** Addresses to which a connection failed or went silent under the request. */
    final Set<String> lostAddresses = new HashSet<>();

    State state = State.WAITING;

    /** The last attempt; it is under way unless the request waits. */
    ForwardAttempt attempt;

    FleetServer server;

    /** The number of sends that have run or may have run. */
    int possibleRuns;

    /** Whether the request was sent at all, so that it counts among the first sends. */
    boolean sentBefore;

    /** Whether the next send is a retry that needs a part of the budget. */
    boolean needsRetry;

    /** How often a server that the request was meant for rejected it. */
    int rejections;

    /** When the caller should come back if the request is turned away. */
    Duration retryDelay = RetryDelay.REJECTED;

    boolean streamStarted;

    /** Whether content of the present server's answer has arrived. */
    boolean answerBegun;

    /** The run of the present server's process to which the request was sent. */
    ServerIncarnation sentTo;

    /** The address to which the request was sent, {@code host:port}. */
    String sentToAddress = "";

    /** When the request was sent to the present server. */
    Instant sentAt = Instant.EPOCH;

    /** Whether the request passes the quarantine, to find out whether it still crashes servers. */
    boolean onTrial;

    /** Whether the request had to wait until a server held its model. */
    boolean waitedForModel;

    /** Whether the present server probably had a free slot when the request was sent. */
    boolean sentToFreeSlot;

    /** When the first event of the present server's answer arrived; null before. */
    Instant firstEventAt;

    /** Id of the first event of the present server's answer. */
    long firstEventId;

    boolean stallCounted;
    long lastEventId;
    Instant lastProgress;

    /** The time from which on the request may go to a server that rejected it or lost it. */
    Instant sameServerAllowedAt = Instant.EPOCH;

    /** The time from which on the request may be sent again. */
    Instant sendAllowedAt = Instant.EPOCH;

    Instant waitingReportedAt = Instant.EPOCH;

    /**
     * Creates the state of a request that arrives now and waits.
     *
     * @param request the request
     * @param route the route that it takes, which limits its time
     * @param service the service that it is for
     * @param account the account that it belongs to
     * @param traits what other requests may have in common with it
     */
    PendingForward(
            ForwardRequest request,
            ForwardingRoute route,
            ServiceName service,
            Optional<ClientAccount> account,
            LostRequest traits,
            Instant now) {
        this.request = request;
        this.attempt = ForwardAttempt.none(request.key());
        this.route = route;
        this.service = service;
        this.account = account;
        this.traits = traits;
        this.arrivedAt = now;
        this.deadline = now.plus(timeout(request, route)).minus(ANSWER_MARGIN);
        this.patienceEnd = deadline;
        this.lastEventId = request.lastEventId();
        this.lastProgress = now;
        route.patience().ifPresent(patience -> limitPatience(now.plus(patience)));
    }

    private static Duration timeout(ForwardRequest request, ForwardingRoute route) {
        return request.budget()
                .filter(budget -> budget.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
    }

    private void limitPatience(Instant callerLeaves) {
        Instant limit = callerLeaves.minus(ANSWER_MARGIN);
        patienceEnd = limit.isBefore(patienceEnd) ? limit : patienceEnd;
    }

    /** Lets the request end at the given time at the latest. */
    void endBy(Instant limit) {
        deadline = limit.isBefore(deadline) ? limit : deadline;
        patienceEnd = limit.isBefore(patienceEnd) ? limit : patienceEnd;
    }

    /** Returns how urgent the request is; 0 is the most urgent. */
    int priority() {
        return account.map(ClientAccount::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
    }

    /** Tells whether only a server with the request's model can run it. */
    boolean needsModel() {
        return request.model().isPresent();
    }

    /** Tells whether no server has the request at present. */
    boolean isWaiting() {
        return state == State.WAITING;
    }

    /** Tells whether a server has the request because of this attempt. */
    boolean isAt(ForwardAttempt other) {
        return !isWaiting() && attempt.equals(other);
    }

    /** Tells whether no send can have run and nothing has been relayed to the caller. */
    boolean notRun() {
        return possibleRuns == 0 && !streamStarted;
    }

    List<RequestTrait> allTraits() {
        List<RequestTrait> all = new ArrayList<>(traits.parts());
        all.add(traits.content());
        return all;
    }

    /** Tells whether the request may be sent once more. */
    boolean mayRunAgain() {
        if (onTrial && possibleRuns > 0) {
            return false;
        }
        return possibleRuns == 0 || route.retryable() && possibleRuns < route.maximumAttempts();
    }
}
