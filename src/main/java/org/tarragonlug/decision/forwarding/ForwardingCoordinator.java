package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * <p>A pending request waits, or servers have it: its primary attempt, whose answer the caller
 * gets, and, while that server is silent, a backup attempt at a second one. An attempt ends only
 * through an answer, a rejection, a broken connection or a cancellation. A request that may run
 * only once has no backup attempt, and is sent again only after the server stated that it did not
 * run it. Any other request has at most one attempt whose server has begun to answer: the other one
 * is cancelled at that moment ({@link BackupAttempts}). Events of an attempt that has ended are
 * discarded, so they can not end another one. A request counts as possibly run from the moment it
 * is sent until the server states that it did not run the request. A refusal that promises "not
 * run" is issued only while the number of possible runs is zero. This makes the promise true
 * without any further record, because the request's key belongs to one attempt of the caller, which
 * no other instance sees.
 *
 * <p>A change of a server or of an expected time dispatches the waiting requests again that it can
 * concern; a tick dispatches all of them, because pauses and validity times end by themselves. A
 * request is refused as soon as its model is expected to be ready later than the caller waits. The
 * coordinator's state does not survive the process; when the process ends, callers see broken
 * connections.
 */
public final class ForwardingCoordinator
        implements StateMachine<ForwardingEvent, ForwardingCommand> {
    private final Fleet fleet;
    private final Hasher hasher;
    private final PendingForwards pending =
            new PendingForwards(command -> this.commands.add(command), this::onEndedWithoutRun);
    private final RetryBudgets budgets;
    private final ReadyExpectations expectations = new ReadyExpectations();
    private final QuarantineGate gate = new QuarantineGate();
    private final KeyGate keys;
    private final AllowanceGate allowances;
    private final RequestDispatcher dispatcher;
    private final SlotReservations reservations;
    private final BackupAttempts backups;
    private final AnswerHandler answers;
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
        AnswerTimer answerTimer = new AnswerTimer(fleet);
        this.budgets = new RetryBudgets(limits);
        this.keys = new KeyGate(command -> this.commands.add(command));
        this.allowances =
                new AllowanceGate(borrower, command -> this.commands.add(command), this::accept);
        this.dispatcher =
                new RequestDispatcher(
                        fleet,
                        new ServerSelector(fleet, home, hasher),
                        hasher,
                        pending,
                        budgets,
                        expectations,
                        gate,
                        keys,
                        command -> this.commands.add(command));
        this.reservations =
                new SlotReservations(
                        fleet,
                        dispatcher,
                        budgets,
                        gate,
                        pending,
                        command -> this.commands.add(command));
        this.backups =
                new BackupAttempts(
                        dispatcher,
                        reservations,
                        budgets,
                        gate,
                        command -> this.commands.add(command));
        this.answers =
                new AnswerHandler(
                        fleet,
                        answerTimer,
                        pending,
                        budgets,
                        gate,
                        dispatcher,
                        backups,
                        this::table,
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

    /** Returns whether an attempt is under way, so that what its server answers has an effect. */
    public boolean isUnderWay(ForwardAttempt attempt) {
        return underWay(attempt).isPresent();
    }

    /** Returns whether the process is stopping, so that requests have less time than usual. */
    public boolean isStopping() {
        return dispatcher.stopAt().isBefore(Instant.MAX);
    }

    /** Returns whether an attempt is the one whose answer the caller gets. */
    public boolean isPrimary(ForwardAttempt attempt) {
        return pending.find(attempt.request())
                .filter(forward -> forward.isPrimary(attempt))
                .isPresent();
    }

    private Optional<PendingForward> underWay(ForwardAttempt attempt) {
        return pending.find(attempt.request()).filter(forward -> forward.open(attempt).isPresent());
    }

    /**
     * Returns whether a request may still be written to the server to which it was sent. The
     * connection may have taken a while, in which the server was listed as leaving, asked for a
     * pause or ended, or the request's time ended.
     */
    public boolean maySend(ForwardAttempt attempt, Instant now) {
        return underWay(attempt)
                .filter(forward -> now.isBefore(forward.deadline))
                .flatMap(forward -> forward.open(attempt))
                .filter(open -> fleet.admitsChosenRequest(open.sentTo, now))
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
                            forward -> answers.handle(forward, ofAttempt, now),
                            () ->
                                    commands.add(
                                            new ForwardingCommand.ReportLateEvent(
                                                    ofAttempt.attempt())));
        } else if (event instanceof ForwardingEvent.SlotReserved reserved) {
            reservations.onReserved(reserved, now);
        } else if (event instanceof ForwardingEvent.SlotNotReserved notReserved) {
            reservations.onRefused(notReserved, now);
            pending.find(notReserved.attempt().request())
                    .filter(forward -> !forward.isWaiting())
                    .ifPresent(forward -> backups.checkSilence(forward, now));
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
                backups.checkSilence(forward, now);
            }
        }
    }
}
