package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.decision.quarantine.LostRequest;
import org.tarragonlug.decision.quota.InstanceTotal;
import org.tarragonlug.decision.quota.QuotaBorrower;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/**
 * Manages forwarded requests from arrival to their end. The coordinator routes a request, lets it
 * wait for a model, selects a server, retries or resumes the request, and refuses or fails it.
 *
 * <p>Every pending request has exactly one state: it waits, or exactly one server is processing it.
 * A request leaves a server only through an answer, a rejection, a broken connection or a
 * cancellation. The coordinator handles each of these cases before it sends the request again, and
 * therefore never starts a second run while the first one is in progress. Events of an attempt that
 * has ended are discarded, so they can not end the next one. A request counts as possibly run from
 * the moment it is sent until the server states that it did not run the request. A refusal that
 * promises "not run" is issued only while the number of possible runs is zero. This makes the
 * promise true without any further record, because the request's key belongs to one attempt of the
 * caller, which no other instance sees.
 *
 * <p>A change of a server or of an expected time dispatches the waiting requests again that it can
 * concern; a tick dispatches all of them, because pauses and validity times end by themselves. A
 * request is refused as soon as its model is expected to be ready later than the caller waits. The
 * coordinator's state does not survive the process; when the process ends, callers see broken
 * connections.
 */
public final class ForwardingCoordinator
        implements StateMachine<ForwardingEvent, ForwardingCommand> {
    private static final int MAX_REJECTIONS = 3;

    private static final int SERVER_ERROR = 500;
    private static final int SUCCESS = 200;
    private static final int REDIRECTION = 300;

    private final Fleet fleet;
    private final Hasher hasher;
    private final AnswerTimer answerTimer;
    private final PendingForwards pending =
            new PendingForwards(command -> this.commands.add(command), this::onEndedWithoutRun);
    private final RetryBudgets budgets;
    private final ReadyExpectations expectations = new ReadyExpectations();
    private final QuarantineGate gate = new QuarantineGate();
    private final KeyGate keys;
    private final AllowanceGate allowances;
    private final RequestDispatcher dispatcher;
    private ForwardingTable table;
    private List<ForwardingCommand> commands = new ArrayList<>();

    /** The time of the event that is being handled. */
    private Instant handledAt = Instant.EPOCH;

    /**
     * Creates a coordinator that refuses requests until a configuration is installed, and enforces
     * no quotas.
     *
     * @param home failure domain of this instance
     * @param hasher hashes requests to route targets, and prefixes to servers
     * @param limits limits set by the platform
     */
    public ForwardingCoordinator(FailureDomain home, Hasher hasher, ForwardingLimits limits) {
        this("", home, hasher, limits);
    }

    /**
     * Creates a coordinator that refuses requests until a configuration is installed, and enforces
     * no quotas.
     *
     * @param instance name of this instance, different from that of all others
     * @param home failure domain of this instance
     * @param hasher hashes requests to route targets, and prefixes to servers
     * @param limits limits set by the platform
     */
    public ForwardingCoordinator(
            String instance, FailureDomain home, Hasher hasher, ForwardingLimits limits) {
        this(
                instance,
                home,
                hasher,
                limits,
                new QuotaBorrower(Optional.empty(), new InstanceTotal(), 0));
    }

    /**
     * Creates a coordinator that refuses requests until a configuration is installed.
     *
     * @param instance name of this instance, different from that of all others
     * @param home failure domain of this instance
     * @param hasher hashes requests to route targets, and prefixes to servers
     * @param limits limits set by the platform
     * @param borrower the allowance of client accounts at this instance
     */
    public ForwardingCoordinator(
            String instance,
            FailureDomain home,
            Hasher hasher,
            ForwardingLimits limits,
            QuotaBorrower borrower) {
        this.fleet = new Fleet(new ServerLimits(instance, hasher, limits.instances()));
        this.hasher = hasher;
        this.answerTimer = new AnswerTimer(fleet);
        this.budgets = new RetryBudgets(limits);
        this.keys = new KeyGate(command -> this.commands.add(command));
        this.allowances =
                new AllowanceGate(borrower, command -> this.commands.add(command), this::accept);
        this.dispatcher =
                new RequestDispatcher(
                        fleet,
                        new ServerSelector(fleet, home, hasher),
                        hasher,
                        answerTimer,
                        pending,
                        budgets,
                        expectations,
                        gate,
                        keys,
                        command -> this.commands.add(command));
    }

    /** Returns the servers that are currently listed. */
    public Fleet fleet() {
        return fleet;
    }

    /** Returns the configuration in force; empty until the first one is installed. */
    public Optional<ForwardingTable> table() {
        return Optional.ofNullable(table);
    }

    /** Returns whether requests need keys, so that the coordinator decides on their heads. */
    public boolean needsKeys() {
        return keys.isOn();
    }

    /** Returns whether an attempt is under way, so that its answer is the request's answer. */
    public boolean isUnderWay(ForwardAttempt attempt) {
        return underWay(attempt).isPresent();
    }

    private Optional<PendingForward> underWay(ForwardAttempt attempt) {
        return pending.find(attempt.request()).filter(forward -> forward.isAt(attempt));
    }

    /**
     * Returns whether a request may still be written to the server to which it was sent. The
     * connection may have taken a while, in which the server was listed as leaving, asked for a
     * pause or ended, or the request's time ended.
     */
    public boolean maySend(ForwardAttempt attempt, Instant now) {
        return underWay(attempt)
                .filter(forward -> now.isBefore(forward.deadline))
                .filter(forward -> fleet.admitsChosenRequest(forward.sentTo, now))
                .isPresent();
    }

    /**
     * Returns the number of requests that wait for a server or for allowance, or that a server
     * processes. Requests that are held until their key is known are not counted.
     */
    public int pendingCount() {
        return pending.size() + allowances.waitingCount();
    }

    /** Returns the number of requests that wait for a server or for allowance. */
    public long waitingCount() {
        return pending.waitingCount() + allowances.waitingCount();
    }

    @Override
    public List<ForwardingCommand> handle(ForwardingEvent event, Instant now) {
        commands = new ArrayList<>();
        handledAt = now;
        if (fleet.apply(event, now)) {
            fleet.serverWithMore(event).ifPresent(server -> dispatchWaitingFor(server, now));
        } else if (event instanceof ForwardingEvent.RequestHeadArrived arrived) {
            onRequestHeadArrived(arrived.head(), now);
        } else if (event instanceof ForwardingEvent.RequestArrived arrived) {
            onRequestArrived(arrived.request(), now);
        } else if (event instanceof ForwardingEvent.OfAttempt ofAttempt) {
            underWay(ofAttempt.attempt())
                    .ifPresentOrElse(
                            forward -> onAttemptEvent(forward, ofAttempt, now),
                            () ->
                                    commands.add(
                                            new ForwardingCommand.ReportLateEvent(
                                                    ofAttempt.attempt())));
        } else if (event instanceof ForwardingEvent.CallerDisconnected disconnected) {
            keys.forget(disconnected.request());
            allowances.forget(disconnected.request());
            pending.find(disconnected.request()).ifPresent(pending::abandon);
        } else if (event instanceof ForwardingEvent.TableInstalled installed) {
            table = installed.table();
            keys.install(table.accounts(), now);
            allowances.install(table.accounts(), now);
        } else if (event instanceof ForwardingEvent.AllowanceAnswered) {
            allowances.decideWaiting(now);
        } else if (event instanceof ForwardingEvent.ConfigurationRead read) {
            keys.onConfigurationRead(read.succeeded(), now);
        } else if (event instanceof ForwardingEvent.ModelReadyExpected expected) {
            expectations.record(expected);
            dispatchWaitingFor(expected, now);
        } else if (event instanceof ForwardingEvent.InstancesCounted counted) {
            budgets.onInstancesCounted(counted.instances(), now);
            fleet.limits().instances().update(counted.instances(), now);
        } else if (event instanceof ForwardingEvent.QuarantineChanged changed) {
            gate.update(changed.quarantined());
            dispatchWaiting(now);
        } else if (event instanceof ForwardingEvent.TrialAllowed allowed) {
            gate.allowTrial(allowed.trait());
        } else if (event instanceof ForwardingEvent.StopScheduled scheduled) {
            dispatcher.stopAt(scheduled.end());
            pending.all().forEach(forward -> forward.endBy(scheduled.end()));
        } else if (event instanceof ForwardingEvent.QueueClosed) {
            dispatcher.closeQueue();
            dispatchWaiting(now);
        } else {
            tick(now);
        }
        return commands;
    }

    /**
     * Refuses a request without a valid key before its body is read. Every other decision is made
     * when the request is complete.
     */
    private void onRequestHeadArrived(RequestHead head, Instant now) {
        Optional<ForwardingRoute> route =
                table == null ? Optional.empty() : table.route(head.host(), head.path());
        if (route.isPresent() && now.isBefore(dispatcher.stopAt())) {
            KeyGate.Admission admission =
                    keys.admit(
                            head.key(),
                            head.credential(),
                            route.get(),
                            later -> onRequestHeadArrived(head, later),
                            now);
            if (admission.held() || refuseKey(head.key(), admission)) {
                return;
            }
        }
        commands.add(new ForwardingCommand.ReceiveBody(head.key()));
    }

    /** Refuses a request if its key is a reason for it, and returns whether it is. */
    private boolean refuseKey(long request, KeyGate.Admission admission) {
        admission
                .refusal()
                .ifPresent(
                        reason ->
                                pending.refuse(
                                        request,
                                        reason,
                                        reason == RefusalReason.KEY_UNCONFIRMED
                                                ? Optional.of(RetryDelay.KEY_NEWS)
                                                : Optional.empty()));
        return admission.refusal().isPresent();
    }

    private void onRequestArrived(ForwardRequest request, Instant now) {
        if (table == null) {
            pending.refuse(
                    request.key(),
                    RefusalReason.NO_CONFIGURATION,
                    Optional.of(RetryDelay.NOT_READY));
            return;
        }
        if (!now.isBefore(dispatcher.stopAt())) {
            pending.refuse(request.key(), RefusalReason.STOPPING, Optional.of(RetryDelay.STOPPING));
            return;
        }
        Optional<ForwardingRoute> route = table.route(request.host(), request.path());
        if (route.isEmpty()) {
            pending.refuse(request.key(), RefusalReason.NO_ROUTE, Optional.empty());
            return;
        }
        KeyGate.Admission admission =
                keys.admit(
                        request.key(),
                        request.credential(),
                        route.get(),
                        later -> onRequestArrived(request, later),
                        now);
        if (admission.held() || refuseKey(request.key(), admission)) {
            return;
        }
        PendingForward forward = newPending(request, route.get(), admission.account(), now);
        if (gate.blocks(forward)) {
            pending.refuse(
                    request.key(), RefusalReason.QUARANTINED, Optional.of(RetryDelay.QUARANTINED));
            return;
        }
        allowances.offer(forward, now);
    }

    private void onEndedWithoutRun(PendingForward forward) {
        allowances.onNotRun(forward, handledAt);
    }

    /** Takes a request that has passed all gates. */
    private void accept(PendingForward forward, Instant now) {
        forward.endBy(dispatcher.stopAt());
        pending.add(forward);
        forward.request
                .model()
                .ifPresent(
                        key ->
                                commands.add(
                                        new ForwardingCommand.ReportArrival(forward.service, key)));
        dispatcher.dispatch(forward, now);
    }

    private PendingForward newPending(
            ForwardRequest request,
            ForwardingRoute route,
            Optional<ClientAccount> account,
            Instant now) {
        ServiceName service = route.chooseTarget(hasher.hash(request.callerRequestId()));
        LostRequest traits = RequestTraits.of(request, hasher);
        PendingForward forward = new PendingForward(request, route, service, account, traits, now);
        forward.credentialRemoved = keys.isOn();
        forward.endBy(dispatcher.stopAt());
        return forward;
    }

    /** Handles what has happened to the attempt that is under way. */
    private void onAttemptEvent(
            PendingForward forward, ForwardingEvent.OfAttempt event, Instant now) {
        if (event instanceof ForwardingEvent.Rejected rejected) {
            onRejected(forward, rejected, now);
        } else if (event instanceof ForwardingEvent.ServerNoticed noticed) {
            onServerNoticed(forward, noticed.notice(), now);
        } else if (event instanceof ForwardingEvent.StreamStarted started) {
            onStreamStarted(forward, started, now);
        } else if (event instanceof ForwardingEvent.EventRelayed relayed) {
            onEventRelayed(forward, relayed, now);
        } else if (event instanceof ForwardingEvent.Answered answered) {
            onAnswered(forward, answered, now);
        } else if (event instanceof ForwardingEvent.ConnectionBroken broken) {
            onConnectionBroken(forward, broken.progress(), now);
        }
    }

    private void onRejected(PendingForward forward, ForwardingEvent.Rejected event, Instant now) {
        FleetServer server = releaseServer(forward, event.load(), now);
        if (event.rejection() != Rejection.WRONG_SERVER) {
            event.load().ifPresent(load -> server.pace().recordStated(load.pace(), now));
        }
        forward.possibleRuns--;
        if (event.rejection() == Rejection.WITHDRAWN) {
            dispatcher.dispatch(forward, now);
            return;
        }
        forward.excluded.add(server.id());
        switch (event.rejection()) {
            case MODEL_ABSENT ->
                    forward.request.model().ifPresent(key -> server.markModelAbsent(key, now));
            case WRONG_SERVER -> server.markUnreachable(now);
            case UNREACHABLE -> {
                forward.connectionLost.add(server.id());
                server.markUnreachable(now);
            }
            default -> onServerBusy(forward, server, event.load(), now);
        }
        if (event.rejection().isByServer()) {
            onServerAnswered(forward, server, now);
            forward.rejections++;
        }
        // Only a send that reached a server makes the next one count as a retry.
        forward.needsRetry |= event.rejection().reachedServer();
        if (forward.rejections > MAX_REJECTIONS && !forward.streamStarted) {
            pending.turnAway(forward);
        } else {
            dispatcher.dispatch(forward, now);
        }
    }

    /**
     * Handles a rejection by a server that wants a pause, is full or unloads the model. A server
     * that wants a pause is left alone until its end. A server with free slots is not full, so it
     * unloads the model, and the request must wait for the model again. A full server is left alone
     * for a moment, since it would reject the same request again.
     */
    private void onServerBusy(
            PendingForward forward, FleetServer server, Optional<ReportedLoad> load, Instant now) {
        server.recordOutcome(false, now);
        if (server.isPaused(now)) {
            return;
        }
        boolean hasFreeSlots = load.filter(each -> each.running() < each.slots()).isPresent();
        if (hasFreeSlots && forward.needsModel()) {
            ModelKey key = forward.request.model().orElseThrow();
            server.markModelAbsent(new ModelKey(key.model(), ""), now);
        } else {
            recordFailure(forward, now);
            RetryPause.afterFullServer(forward, now);
            load.filter(each -> forward.needsModel())
                    .ifPresent(each -> forward.retryDelay = RetryDelay.afterGenerations(each));
        }
    }

    private void recordFailure(PendingForward forward, Instant now) {
        fleet.limits().of(forward.sentTo).ifPresent(limit -> limit.recordFailure(now));
    }

    private void onServerNoticed(PendingForward forward, ServerNotice notice, Instant now) {
        if (fleet.recordNotice(forward.sentTo, notice, now)) {
            commands.add(
                    new ForwardingCommand.ReportNotice(
                            forward.sentTo, notice, forward.request.key()));
        }
    }

    private void onStreamStarted(
            PendingForward forward, ForwardingEvent.StreamStarted event, Instant now) {
        event.load().ifPresent(load -> forward.server.recordReportedLoad(load, now));
        answerTimer.onHead(forward, event.load(), now);
        onServerAnswered(forward, forward.server, now);
        forward.state = PendingForward.State.STREAMING;
        forward.streamStarted = true;
        forward.lastProgress = now;
    }

    private void onEventRelayed(
            PendingForward forward, ForwardingEvent.EventRelayed event, Instant now) {
        answerTimer.onEvent(forward, event.eventId(), now);
        forward.lastEventId = Math.max(forward.lastEventId, event.eventId());
        forward.lastProgress = now;
        forward.stallCounted = false;
        onAnswerBegun(forward, forward.server, now);
    }

    private void onServerAnswered(PendingForward forward, FleetServer server, Instant now) {
        server.markReached(now);
        commands.add(new ForwardingCommand.ReportServerAnswered(forward.sentTo, forward.sentAt));
    }

    private void onAnswerBegun(PendingForward forward, FleetServer server, Instant now) {
        if (!forward.answerBegun) {
            forward.answerBegun = true;
            if (forward.sentTo.equals(server.incarnation())) {
                Duration time = Duration.between(forward.sentAt, now);
                fleet.limits().recordAnswer(server, forward.route.name(), time, now);
            }
            commands.add(new ForwardingCommand.ReportAnswerBegun(forward.allTraits()));
        }
    }

    private void onAnswered(PendingForward forward, ForwardingEvent.Answered event, Instant now) {
        if (event.status() >= SUCCESS && event.status() < REDIRECTION) {
            answerTimer.onAnswered(forward, event.load(), megabytes(forward), now);
        }
        FleetServer server = releaseServer(forward, event.load(), now);
        onServerAnswered(forward, server, now);
        onAnswerBegun(forward, server, now);
        boolean failed = event.status() >= SERVER_ERROR;
        server.recordOutcome(failed, now);
        if (failed
                && !forward.streamStarted
                && forward.mayRunAgain()
                && !gate.blocks(forward)
                && now.isBefore(forward.deadline)) {
            forward.excluded.add(server.id());
            Optional<FleetServer> other = dispatcher.choose(forward, forward.excluded, now);
            if (other.isPresent() && budgets.tryAcquire(forward.service, now)) {
                dispatcher.send(forward, other.get(), now);
                return;
            }
        }
        pending.relayAnswer(forward);
    }

    /** Returns the size of the request's model; 0 if it needs none or the size is not known. */
    private double megabytes(PendingForward forward) {
        return forward.request
                .model()
                .flatMap(
                        key ->
                                Optional.ofNullable(table.services().get(forward.service))
                                        .flatMap(ForwardingService::catalog)
                                        .flatMap(catalog -> catalog.model(key.model())))
                .map(ModelSpecification::weightsMegabytes)
                .orElse(0.0);
    }

    private void onConnectionBroken(PendingForward forward, AnswerProgress progress, Instant now) {
        FleetServer server = releaseServer(forward, Optional.empty(), now);
        server.recordOutcome(true, now);
        recordFailure(forward, now);
        if (progress != AnswerProgress.CONTENT && fleet.isListedAsReady(forward.sentTo, now)) {
            commands.add(new ForwardingCommand.ReportRequestLost(forward.sentTo, forward.traits));
        }
        forward.excluded.add(server.id());
        forward.connectionLost.add(server.id());
        RetryPause.afterBrokenConnection(forward, progress, now);
        retryOrFail(forward, FailureReason.SERVER_LOST, now);
    }

    private void retryOrFail(PendingForward forward, FailureReason reason, Instant now) {
        if (forward.mayRunAgain() && budgets.tryAcquire(forward.service, now)) {
            dispatcher.dispatch(forward, now);
            return;
        }
        pending.fail(forward, reason);
    }

    private FleetServer releaseServer(
            PendingForward forward, Optional<ReportedLoad> load, Instant now) {
        FleetServer server = forward.server;
        load.ifPresent(reported -> server.recordReportedLoad(reported, now));
        server.onRequestEnded();
        forward.state = PendingForward.State.WAITING;
        forward.lastProgress = now;
        return server;
    }

    private void dispatchWaiting(Instant now) {
        pending.waiting().forEach(forward -> dispatcher.dispatch(forward, now));
    }

    /** Dispatches the waiting requests that a changed server can run. */
    private void dispatchWaitingFor(FleetServer server, Instant now) {
        for (PendingForward forward : pending.waiting()) {
            if (server.canRun(forward.service, forward.request.model(), now)) {
                dispatcher.dispatch(forward, now);
            }
        }
    }

    /** Dispatches the requests that wait for a model of which the expected time has changed. */
    private void dispatchWaitingFor(ForwardingEvent.ModelReadyExpected expected, Instant now) {
        Optional<ModelKey> model = Optional.of(expected.key());
        for (PendingForward forward : pending.waiting()) {
            if (forward.service.equals(expected.service())
                    && forward.request.model().equals(model)) {
                dispatcher.dispatch(forward, now);
            }
        }
    }

    private void tick(Instant now) {
        allowances.tick(now);
        keys.tick(now);
        commands.addAll(fleet.advanceLimits(now));
        for (PendingForward forward : pending.all()) {
            if (forward.isWaiting()) {
                dispatcher.dispatch(forward, now);
            } else if (!now.isBefore(forward.deadline)) {
                dispatcher.endLate(forward, now);
            } else {
                checkStall(forward, now);
            }
        }
    }

    private void checkStall(PendingForward forward, Instant now) {
        if (forward.stallCounted
                || Duration.between(forward.lastProgress, now).compareTo(StallTimeout.of(forward))
                        < 0) {
            return;
        }
        forward.stallCounted = true;
        FleetServer server = forward.server;
        server.recordStall(now);
        if (!forward.mayRunAgain()
                || dispatcher.choose(forward, Set.of(server.id()), now).isEmpty()
                || !budgets.tryAcquire(forward.service, now)) {
            return;
        }
        commands.add(new ForwardingCommand.CancelAttempt(forward.request.key()));
        releaseServer(forward, Optional.empty(), now);
        forward.excluded.add(server.id());
        forward.connectionLost.add(server.id());
        dispatcher.dispatch(forward, now);
    }
}
