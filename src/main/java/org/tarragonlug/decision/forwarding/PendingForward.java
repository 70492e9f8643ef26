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
import org.tarragonlug.id.ServiceName;

/** The state of a request that has not ended. Only the coordinator changes it. */
final class PendingForward {
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

    /** The last attempt that was begun. */
    ForwardAttempt lastAttempt;

    /** The attempt whose answer the caller gets; null while the request waits for a server. */
    OpenAttempt primary;

    /** The attempt at a second server while the server of the primary one is silent. */
    Optional<OpenAttempt> backup = Optional.empty();

    /** A slot that another server was asked to reserve while the server is silent. */
    Optional<RequestedSlot> requestedSlot = Optional.empty();

    /** The number of sends that have run or may have run. */
    int possibleRuns;

    /** Whether the request was sent at all, so that it counts among the first sends. */
    boolean sentBefore;

    /** Whether the next send is a retry that needs a part of the budget. */
    boolean needsRetry;

    /** How often a server that the request was meant for rejected it. */
    int rejections;

    /** How often a server that was asked for a slot has reserved none. */
    int refusedSlots;

    /** When the caller should come back if the request is turned away. */
    Duration retryDelay = RetryDelay.REJECTED;

    boolean streamStarted;

    /** Whether a server has answered with a failure, which is passed on if nothing better comes. */
    boolean failureToRelay;

    /** Whether the request passes the quarantine, to find out whether it still crashes servers. */
    boolean onTrial;

    /** Whether the request had to wait until a server held its model. */
    boolean waitedForModel;

    long lastEventId;

    /** Since when the request waits for a server; when it last began to wait if it does not. */
    Instant waitingSince;

    /** The time from which on the request may go to a server that rejected it or lost it. */
    Instant sameServerAllowedAt = Instant.EPOCH;

    /** The time from which on the request may be sent again. */
    Instant sendAllowedAt = Instant.EPOCH;

    /** The time from which on a second server may be asked. */
    Instant backupAllowedAt = Instant.EPOCH;

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
        this.lastAttempt = ForwardAttempt.none(request.key());
        this.route = route;
        this.service = service;
        this.account = account;
        this.traits = traits;
        this.arrivedAt = now;
        this.deadline = now.plus(timeout(request, route)).minus(ANSWER_MARGIN);
        this.patienceEnd = deadline;
        this.lastEventId = request.lastEventId();
        this.waitingSince = now;
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
        return primary == null;
    }

    /** Returns an attempt of the request; empty if it is not under way. */
    Optional<OpenAttempt> open(ForwardAttempt attempt) {
        if (primary != null && primary.id.equals(attempt)) {
            return Optional.of(primary);
        }
        return backup.filter(each -> each.id.equals(attempt));
    }

    /** Tells whether an attempt is the one whose answer the caller gets. */
    boolean isPrimary(ForwardAttempt attempt) {
        return primary != null && primary.id.equals(attempt);
    }

    /** Tells whether another attempt than this one is under way. */
    boolean hasAttemptBeside(OpenAttempt attempt) {
        return primary != attempt || backup.isPresent();
    }

    /** Removes an attempt that has ended. The request waits from now on if it was the only one. */
    void remove(OpenAttempt attempt, Instant now) {
        if (primary != attempt) {
            backup = Optional.empty();
        } else if (backup.isPresent()) {
            promoteBackup();
        } else {
            primary = null;
            waitingSince = now;
        }
    }

    /** Returns the slot that a server was asked to reserve, and waits for it no longer. */
    RequestedSlot takeRequestedSlot() {
        RequestedSlot slot = requestedSlot.orElseThrow();
        requestedSlot = Optional.empty();
        return slot;
    }

    /** Lets the second attempt take the place of the primary one, which has ended. */
    void promoteBackup() {
        primary = backup.orElseThrow();
        backup = Optional.empty();
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
