package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ReservationId;
import org.tarragonlug.id.ServerId;

/**
 * Sends waiting requests to servers. A request that no server can run now waits, if one is expected
 * to be able to before its caller leaves, and is refused at once otherwise.
 *
 * <p>The dispatcher keeps nothing of a request: all state is in {@link PendingForward}, so a
 * request may be dispatched again after any event, and the result depends on the present state
 * alone.
 */
final class RequestDispatcher {
    /** How long a request for a plain service waits for a server to become available. */
    private static final Duration SERVER_WAIT = Duration.ofMillis(250);

    /** How often the demand of a waiting request is reported. */
    private static final Duration WAITING_REPORT_INTERVAL = Duration.ofMillis(250);

    private final Fleet fleet;
    private final ServerSelector selector;
    private final Hasher hasher;
    private final PendingForwards pending;
    private final RetryBudgets budgets;
    private final ReadyExpectations expectations;
    private final QuarantineGate gate;
    private final KeyGate keys;
    private final Consumer<ForwardingCommand> output;
    private boolean queueClosed;

    /** When the process stops; no request lasts longer. */
    private Instant stopAt = Instant.MAX;

    /**
     * Creates a dispatcher.
     *
     * @param fleet the known servers
     * @param selector selects among the servers that can run a request
     * @param hasher spreads the return of refused callers
     * @param pending the requests, and the ways in which they end
     * @param budgets limits retries
     * @param expectations when models are expected to be ready
     * @param gate requests that must not reach servers
     * @param keys whether credentials are kept from servers
     * @param output receives the commands
     */
    RequestDispatcher(
            Fleet fleet,
            ServerSelector selector,
            Hasher hasher,
            PendingForwards pending,
            RetryBudgets budgets,
            ReadyExpectations expectations,
            QuarantineGate gate,
            KeyGate keys,
            Consumer<ForwardingCommand> output) {
        this.fleet = fleet;
        this.selector = selector;
        this.hasher = hasher;
        this.pending = pending;
        this.budgets = budgets;
        this.expectations = expectations;
        this.gate = gate;
        this.keys = keys;
        this.output = output;
    }

    /** Lets no request wait from now on that can still be refused. */
    void closeQueue() {
        queueClosed = true;
    }

    /** Sets the time at which the process stops. */
    void stopAt(Instant end) {
        stopAt = end;
    }

    /** Returns the time at which the process stops; far in the future if it does not. */
    Instant stopAt() {
        return stopAt;
    }

    /** Ends a request whose time is over. */
    void endLate(PendingForward forward, Instant now) {
        if (now.isBefore(stopAt)) {
            pending.timeOut(forward);
        } else {
            pending.stop(forward);
        }
    }

    /** Sends a waiting request if a server is available; otherwise keeps it waiting or ends it. */
    void dispatch(PendingForward forward, Instant now) {
        if (!now.isBefore(waitingEnd(forward))) {
            endLate(forward, now);
            return;
        }
        if (gate.blocks(forward)) {
            pending.refuseOrFail(forward, RefusalReason.QUARANTINED, RetryDelay.QUARANTINED);
            return;
        }
        if (now.isBefore(forward.sendAllowedAt)) {
            return;
        }
        Optional<FleetServer> server = choose(forward, forward.excluded, now);
        boolean paused = now.isBefore(forward.sameServerAllowedAt);
        if (server.isEmpty() && !forward.excluded.isEmpty() && forward.needsModel() && !paused) {
            // Prefers another server, but retries an excluded one if no other is available.
            server = choose(forward, Set.of(), now);
        }
        if (server.isEmpty() && isLastChance(forward, now)) {
            server = choose(forward, forward.excluded, each -> each.isLastResort(now), now);
        }
        if (server.isPresent()) {
            sendIfAllowed(forward, server.get(), now);
        } else if (queueClosed && forward.notRun()) {
            pending.refuseOrFail(forward, RefusalReason.STOPPING, RetryDelay.STOPPING);
        } else if (forward.needsModel()) {
            forward.waitedForModel |= !paused;
            waitForModel(forward, now);
        } else {
            waitForServer(forward, now);
        }
    }

    /** Tells whether a request ends now or in a moment unless it is sent. */
    private boolean isLastChance(PendingForward forward, Instant now) {
        if (queueClosed || !now.plus(SERVER_WAIT).isBefore(waitingEnd(forward))) {
            return true;
        }
        boolean waited = !now.isBefore(forward.waitingSince.plus(SERVER_WAIT));
        return !forward.needsModel() && (waited || !forward.excluded.isEmpty());
    }

    /** Keeps a request for a plain service waiting for a moment, or ends it. */
    private void waitForServer(PendingForward forward, Instant now) {
        Instant waitEnd = forward.waitingSince.plus(SERVER_WAIT);
        Optional<Duration> pause = pauseBeyond(waitEnd, forward, now);
        pause.ifPresent(remaining -> forward.retryDelay = remaining);
        if (!forward.excluded.isEmpty()) {
            pending.turnAway(forward);
        } else if (pause.isPresent() || !now.isBefore(waitEnd)) {
            pending.refuseOrFail(
                    forward, RefusalReason.NO_SERVER, pause.orElse(RetryDelay.NOT_READY));
        }
    }

    /**
     * Returns when the caller should come back if all suitable servers want no requests until after
     * a time; empty if one of them wants requests before.
     */
    private Optional<Duration> pauseBeyond(Instant limit, PendingForward forward, Instant now) {
        long hash = hasher.hash("return " + forward.request.callerRequestId());
        return fleet.pauseEnd(forward.service, forward.request.model(), now)
                .filter(end -> end.isAfter(limit))
                .map(end -> RetryDelay.afterPause(Duration.between(now, end), hash));
    }

    /** Returns how long the caller waits; once it has received something, until the deadline. */
    private static Instant waitingEnd(PendingForward forward) {
        return forward.streamStarted ? forward.deadline : forward.patienceEnd;
    }

    /** Chooses a server that is not at its limit, or else one whose limit yields. */
    Optional<FleetServer> choose(PendingForward forward, Set<ServerId> excluded, Instant now) {
        return choose(forward, excluded, each -> each.isAvailable(now), now)
                .or(() -> choose(forward, excluded, each -> each.isAvailableBeyondLimit(now), now));
    }

    private Optional<FleetServer> choose(
            PendingForward forward,
            Set<ServerId> excluded,
            Predicate<FleetServer> usable,
            Instant now) {
        return selector.choose(
                forward.service,
                forward.request.model(),
                forward.request.prefix(),
                excluded,
                forward.request.callerRequestId(),
                usable,
                now);
    }

    private void waitForModel(PendingForward forward, Instant now) {
        ModelKey key = forward.request.model().orElseThrow();
        Optional<Duration> delay =
                expectations.delayBeyond(waitingEnd(forward), forward.service, key, now);
        if (delay.isEmpty() && !expectations.isExpected(forward.service, key, now)) {
            delay = pauseBeyond(waitingEnd(forward), forward, now);
        }
        // A begun stream cannot be refused, and a server that is full now may take it in time.
        if (delay.isPresent() && !forward.streamStarted) {
            pending.refuseOrFail(forward, RefusalReason.MODEL_NOT_READY, delay.get());
            return;
        }
        if (Duration.between(forward.waitingReportedAt, now).compareTo(WAITING_REPORT_INTERVAL)
                >= 0) {
            forward.waitingReportedAt = now;
            output.accept(
                    new ForwardingCommand.ReportWaiting(
                            forward.service,
                            key,
                            forward.priority(),
                            forward.arrivedAt.plus(forward.route.targetLatency()),
                            waitingEnd(forward)));
        }
    }

    /**
     * Sends a request, unless it would be a retry and the budget for retries is used up. A stream
     * that has begun then waits, since it cannot be refused any more.
     */
    private void sendIfAllowed(PendingForward forward, FleetServer server, Instant now) {
        if (forward.needsRetry && !budgets.tryAcquire(forward.service, now)) {
            if (!forward.streamStarted) {
                pending.turnAway(forward);
            }
            return;
        }
        forward.needsRetry = false;
        send(forward, server, now);
    }

    /** Sends a request to a server, whatever the budget for retries. */
    void send(PendingForward forward, FleetServer server, Instant now) {
        if (!forward.sentBefore) {
            forward.sentBefore = true;
            budgets.recordFirstSend(forward.service, now);
        }
        forward.primary = open(forward, server, Optional.empty(), now);
    }

    /** Sends a request to a server that has reserved a slot for it. */
    void sendReserved(
            PendingForward forward, FleetServer server, ReservationId reservation, Instant now) {
        forward.primary = open(forward, server, Optional.of(reservation), now);
    }

    /** Sends a request to a second server while the first one is silent. */
    void sendBackup(PendingForward forward, FleetServer server, Instant now) {
        forward.backup = Optional.of(open(forward, server, Optional.empty(), now));
    }

    private OpenAttempt open(
            PendingForward forward,
            FleetServer server,
            Optional<ReservationId> reservation,
            Instant now) {
        forward.lastAttempt = forward.lastAttempt.next();
        forward.possibleRuns++;
        OpenAttempt attempt = new OpenAttempt(forward.lastAttempt, server, now);
        server.onRequestSent();
        output.accept(
                new ForwardingCommand.Send(
                        attempt.id,
                        server.id(),
                        attempt.address,
                        Duration.between(now, forward.deadline),
                        RequestUrgency.rank(forward, hasher, now),
                        forward.lastEventId,
                        forward.route.kind() == RequestKind.STREAMING,
                        forward.deadline,
                        forward.lostAddresses.contains(attempt.address),
                        forward.account.map(ClientAccount::name),
                        forward.credentialRemoved || keys.isOn(),
                        reservation));
        return attempt;
    }
}
