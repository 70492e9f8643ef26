package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * Takes requests from arrival to their end: route, wait for a model, choose a server, send again or
 * resume, refuse or fail.
 *
 * <p>Every pending request is in one place: it waits, or exactly one server has it. A request
 * leaves a server only by an answer, a rejection, a break or a cancellation, and each of them is an
 * event; so there is never a second run beside the first. A request counts as having run from its
 * send until the server states that it did not run it. A refusal that promises "not run" is issued
 * only while that count is zero, which makes the promise true without any further record: the
 * request's key belongs to one caller attempt, and no other instance sees it.
 *
 * <p>Waiting requests are offered again on each change of the fleet and on each tick. A request is
 * refused as soon as its model is expected later than its caller waits. The coordinator keeps no
 * state that survives the process; callers see broken connections then.
 */
public final class ForwardingCoordinator
        implements StateMachine<ForwardingEvent, ForwardingCommand> {
    /** Time kept back so that an answer reaches the caller before its own time limit. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(60);

    private static final int MAX_REJECTIONS = 3;

    /** How long a request for a plain service waits for a server to appear. */
    private static final Duration SERVER_WAIT = Duration.ofMillis(250);

    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(500);

    /** Another instance can take the request at once. */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(20);

    private static final Duration REJECTED_RETRY_AFTER = Duration.ofMillis(150);

    /** A stream that has begun is taken as stalled after this pause. */
    private static final Duration STREAM_STALL_TIMEOUT = Duration.ofMillis(1200);

    private static final Duration MIN_STREAM_START_TIMEOUT = Duration.ofMillis(1000);
    private static final Duration MIN_ANSWER_TIMEOUT = Duration.ofMillis(350);
    private static final int ANSWER_TIMEOUT_IN_TARGETS = 3;

    /** How often the want of a model is stated again while a request waits. */
    private static final Duration WAITING_REPORT_INTERVAL = Duration.ofMillis(250);

    /** When a server crashes, its other connections break a moment after the first. */
    private static final Duration SAME_SERVER_RETRY_DELAY = Duration.ofMillis(400);

    private static final int SERVER_ERROR = 500;

    private final Fleet fleet;
    private final ServerSelector selector;
    private final Hasher hasher;
    private final ForwardingLimits limits;
    private final InstanceCount instances;
    private final Map<Long, PendingForward> pending = new LinkedHashMap<>();
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
    private final Map<ServiceName, Map<ModelKey, Instant>> expectedReadyTimes = new HashMap<>();
    private ForwardingTable table;
    private boolean queueClosed;
    private List<ForwardingCommand> commands = new ArrayList<>();

    /**
     * Creates a coordinator without configuration.
     *
     * @param home failure domain of this instance
     * @param hasher spreads requests and prefixes
     * @param limits limits set by the platform
     */
    public ForwardingCoordinator(FailureDomain home, Hasher hasher, ForwardingLimits limits) {
        this.fleet = new Fleet();
        this.selector = new ServerSelector(fleet, home, hasher);
        this.hasher = hasher;
        this.limits = limits;
        this.instances = new InstanceCount(limits.instances());
    }

    /** Returns the known servers. */
    public Fleet fleet() {
        return fleet;
    }

    /** Returns the configuration in force. */
    public Optional<ForwardingTable> table() {
        return Optional.ofNullable(table);
    }

    /** Returns the number of requests that have not ended. */
    public int pendingCount() {
        return pending.size();
    }

    /** Returns the number of requests that wait for a server. */
    public long waitingCount() {
        return pending.values().stream()
                .filter(each -> each.state == PendingForward.State.WAITING)
                .count();
    }

    @Override
    public List<ForwardingCommand> handle(ForwardingEvent event, Instant now) {
        commands = new ArrayList<>();
        if (event instanceof ForwardingEvent.RequestArrived arrived) {
            onRequestArrived(arrived.request(), now);
        } else if (event instanceof ForwardingEvent.Rejected rejected) {
            find(rejected.request()).ifPresent(each -> onRejected(each, rejected, now));
        } else if (event instanceof ForwardingEvent.StreamStarted started) {
            find(started.request()).ifPresent(each -> onStreamStarted(each, started, now));
        } else if (event instanceof ForwardingEvent.EventRelayed passed) {
            find(passed.request()).ifPresent(each -> onEventRelayed(each, passed, now));
        } else if (event instanceof ForwardingEvent.Answered answered) {
            find(answered.request()).ifPresent(each -> onAnswered(each, answered, now));
        } else if (event instanceof ForwardingEvent.ConnectionBroken broken) {
            find(broken.request()).ifPresent(each -> onConnectionBroken(each, now));
        } else if (event instanceof ForwardingEvent.CallerDisconnected gone) {
            find(gone.request()).ifPresent(this::onCallerDisconnected);
        } else if (event instanceof ForwardingEvent.TableInstalled installed) {
            table = installed.table();
        } else if (event instanceof ForwardingEvent.ServerListed listed) {
            fleet.addOrUpdate(listed.listing());
            dispatchWaiting(now);
        } else if (event instanceof ForwardingEvent.ServerUnlisted gone) {
            fleet.remove(gone.server());
        } else if (event instanceof ForwardingEvent.ReplicaAnnounced announced) {
            fleet.server(announced.server()).ifPresent(server -> applyAnnouncement(server, announced));
            dispatchWaiting(now);
        } else if (event instanceof ForwardingEvent.ModelReadyExpected expected) {
            expectedReadyTimes
                    .computeIfAbsent(expected.service(), each -> new HashMap<>())
                    .put(expected.key(), expected.ready());
            dispatchWaiting(now);
        } else if (event instanceof ForwardingEvent.InstancesCounted counted) {
            instances.update(counted.instances(), now);
        } else if (event instanceof ForwardingEvent.QueueClosed) {
            queueClosed = true;
            dispatchWaiting(now);
        } else {
            tick(now);
        }
        return commands;
    }

    private static void applyAnnouncement(FleetServer server, ForwardingEvent.ReplicaAnnounced announced) {
        if (announced.held()) {
            server.assumeLoaded(announced.key(), announced.until());
        } else {
            server.assumeUnloaded(announced.key(), announced.until());
        }
    }

    private Optional<PendingForward> find(long key) {
        return Optional.ofNullable(pending.get(key));
    }

    private void onRequestArrived(ForwardRequest request, Instant now) {
        if (table == null) {
            refuse(request.key(), RefusalReason.NO_CONFIGURATION, NOT_READY_RETRY_AFTER);
            return;
        }
        Optional<ForwardingRoute> route = table.route(request.host(), request.path());
        if (route.isEmpty()) {
            commands.add(
                    new ForwardingCommand.Refuse(
                            request.key(), RefusalReason.NO_ROUTE, Optional.empty()));
            return;
        }
        PendingForward each = newPending(request, route.get(), now);
        pending.put(request.key(), each);
        request.model()
                .ifPresent(key -> commands.add(new ForwardingCommand.ReportArrival(each.service, key)));
        dispatch(each, now);
    }

    private PendingForward newPending(ForwardRequest request, ForwardingRoute route, Instant now) {
        Duration timeout = route.timeout();
        if (request.budget().isPresent() && request.budget().get().compareTo(timeout) < 0) {
            timeout = request.budget().get();
        }
        Instant deadline = now.plus(timeout).minus(ANSWER_MARGIN);
        Instant patienceEnd = deadline;
        if (route.patience().isPresent()) {
            Instant patienceLimit = now.plus(route.patience().get()).minus(ANSWER_MARGIN);
            patienceEnd = patienceLimit.isBefore(deadline) ? patienceLimit : deadline;
        }
        ServiceName service = route.chooseTarget(hasher.hash(request.callerRequestId()));
        return new PendingForward(request, route, service, deadline, patienceEnd, now);
    }

    /** Sends a waiting request if a server can take it; otherwise lets it wait or refuses it. */
    private void dispatch(PendingForward each, Instant now) {
        Instant end = each.streamStarted ? each.deadline : each.patienceEnd;
        if (!now.isBefore(end)) {
            onTimeout(each);
            return;
        }
        Optional<FleetServer> server = choose(each, each.excluded, now);
        boolean paused = now.isBefore(each.connectionBrokenAt.plus(SAME_SERVER_RETRY_DELAY));
        if (server.isEmpty() && !each.excluded.isEmpty() && needsModel(each) && !paused) {
            // Another server is better, but the same one is better than none.
            server = choose(each, Set.of(), now);
        }
        if (server.isPresent()) {
            send(each, server.get(), now);
        } else if (queueClosed) {
            remove(each);
            refuseOrFail(each, RefusalReason.STOPPING, STOPPING_RETRY_AFTER);
        } else if (needsModel(each)) {
            waitForModel(each, now);
        } else if (!each.excluded.isEmpty()) {
            remove(each);
            refuseOrFail(each, RefusalReason.TURNED_AWAY, REJECTED_RETRY_AFTER);
        } else if (Duration.between(each.lastProgress, now).compareTo(SERVER_WAIT) >= 0) {
            remove(each);
            refuseOrFail(each, RefusalReason.NO_SERVER, NOT_READY_RETRY_AFTER);
        }
    }

    private boolean needsModel(PendingForward each) {
        return each.request.model().isPresent();
    }

    private Optional<FleetServer> choose(PendingForward each, Set<ServerId> excluded, Instant now) {
        return selector.choose(
                each.service, each.request.model(), each.request.prefix(), excluded, now);
    }

    private void waitForModel(PendingForward each, Instant now) {
        ModelKey key = each.request.model().orElseThrow();
        Instant ready = expectedReadyTimes.getOrDefault(each.service, Map.of()).get(key);
        if (ready != null && ready.isAfter(each.patienceEnd) && now.isBefore(ready)) {
            remove(each);
            refuseOrFail(each, RefusalReason.MODEL_NOT_READY, Duration.between(now, ready));
            return;
        }
        if (Duration.between(each.waitingReportedAt, now).compareTo(WAITING_REPORT_INTERVAL) >= 0) {
            each.waitingReportedAt = now;
            commands.add(
                    new ForwardingCommand.ReportWaiting(
                            each.service,
                            key,
                            each.route.priority(),
                            each.arrivedAt.plus(each.route.targetLatency()),
                            each.patienceEnd));
        }
    }

    private void send(PendingForward each, FleetServer server, Instant now) {
        if (each.possibleRuns == 0 && each.rejections == 0) {
            budget(each.service).recordFirstSend(now);
        }
        each.state = PendingForward.State.SENT;
        each.server = server;
        each.possibleRuns++;
        each.stallCounted = false;
        each.lastProgress = now;
        server.onRequestSent();
        commands.add(
                new ForwardingCommand.Send(
                        each.request.key(),
                        server.id(),
                        server.listing().address(),
                        Duration.between(now, each.deadline),
                        Math.min(9, Math.max(0, each.route.priority())),
                        each.lastEventId,
                        each.route.kind() == RequestKind.STREAMING,
                        each.deadline));
    }

    private RetryBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(
                service,
                each ->
                        new RetryBudget(
                                limits.retryWindow(),
                                limits.retryRatio(),
                                limits.retryAllowance(),
                                instances));
    }

    private void onRejected(PendingForward each, ForwardingEvent.Rejected event, Instant now) {
        FleetServer server = releaseServer(each, event.load(), now);
        each.possibleRuns--;
        each.excluded.add(server.id());
        switch (event.rejection()) {
            case MODEL_ABSENT -> each.request.model().ifPresent(key -> server.markModelAbsent(key, now));
            case WRONG_SERVER, UNREACHABLE -> server.markUnreachable(now);
            default -> server.recordOutcome(false, now);
        }
        if (event.rejection() != Rejection.UNREACHABLE) {
            each.rejections++;
            if (each.rejections > MAX_REJECTIONS || !budget(each.service).tryAcquire(now)) {
                remove(each);
                refuseOrFail(each, RefusalReason.TURNED_AWAY, REJECTED_RETRY_AFTER);
                return;
            }
        }
        dispatch(each, now);
    }

    private void onStreamStarted(
            PendingForward each, ForwardingEvent.StreamStarted event, Instant now) {
        event.load().ifPresent(load -> each.server.recordReportedLoad(load, now));
        each.state = PendingForward.State.STREAMING;
        each.streamStarted = true;
        each.lastProgress = now;
    }

    private void onEventRelayed(PendingForward each, ForwardingEvent.EventRelayed event, Instant now) {
        each.lastEventId = event.eventId();
        each.lastProgress = now;
        each.stallCounted = false;
    }

    private void onAnswered(PendingForward each, ForwardingEvent.Answered event, Instant now) {
        FleetServer server = releaseServer(each, event.load(), now);
        boolean failed = event.status() >= SERVER_ERROR;
        server.recordOutcome(failed, now);
        if (failed && !each.streamStarted && each.mayRunAgain() && now.isBefore(each.deadline)) {
            each.excluded.add(server.id());
            Optional<FleetServer> other = choose(each, each.excluded, now);
            if (other.isPresent() && budget(each.service).tryAcquire(now)) {
                send(each, other.get(), now);
                return;
            }
        }
        remove(each);
        commands.add(new ForwardingCommand.RelayAnswer(each.request.key()));
    }

    private void onConnectionBroken(PendingForward each, Instant now) {
        FleetServer server = releaseServer(each, Optional.empty(), now);
        server.recordOutcome(true, now);
        each.excluded.add(server.id());
        each.connectionBrokenAt = now;
        retryOrFail(each, FailureReason.SERVER_LOST, now);
    }

    private void retryOrFail(PendingForward each, FailureReason reason, Instant now) {
        if (each.mayRunAgain() && budget(each.service).tryAcquire(now)) {
            dispatch(each, now);
            return;
        }
        remove(each);
        commands.add(new ForwardingCommand.Fail(each.request.key(), reason));
    }

    private void onCallerDisconnected(PendingForward each) {
        remove(each);
        if (each.state != PendingForward.State.WAITING) {
            each.server.onRequestEnded();
            commands.add(new ForwardingCommand.CancelAttempt(each.request.key()));
        }
    }

    private FleetServer releaseServer(PendingForward each, Optional<ReportedLoad> load, Instant now) {
        FleetServer server = each.server;
        load.ifPresent(stated -> server.recordReportedLoad(stated, now));
        server.onRequestEnded();
        each.state = PendingForward.State.WAITING;
        each.lastProgress = now;
        return server;
    }

    private void remove(PendingForward each) {
        pending.remove(each.request.key());
    }

    private void onTimeout(PendingForward each) {
        remove(each);
        if (each.state != PendingForward.State.WAITING) {
            each.server.onRequestEnded();
            commands.add(new ForwardingCommand.CancelAttempt(each.request.key()));
        }
        if (each.notRun()) {
            commands.add(
                    new ForwardingCommand.Refuse(
                            each.request.key(), RefusalReason.TIME_OVER, Optional.empty()));
        } else {
            commands.add(new ForwardingCommand.Fail(each.request.key(), FailureReason.TIME_OVER));
        }
    }

    private void refuseOrFail(PendingForward each, RefusalReason reason, Duration retryAfter) {
        if (each.notRun()) {
            refuse(each.request.key(), reason, retryAfter);
        } else {
            commands.add(new ForwardingCommand.Fail(each.request.key(), FailureReason.SERVER_LOST));
        }
    }

    private void refuse(long key, RefusalReason reason, Duration retryAfter) {
        commands.add(new ForwardingCommand.Refuse(key, reason, Optional.of(retryAfter)));
    }

    private void dispatchWaiting(Instant now) {
        for (PendingForward each : new ArrayList<>(pending.values())) {
            if (each.state == PendingForward.State.WAITING) {
                dispatch(each, now);
            }
        }
    }

    private void tick(Instant now) {
        for (PendingForward each : new ArrayList<>(pending.values())) {
            if (each.state == PendingForward.State.WAITING) {
                dispatch(each, now);
            } else if (!now.isBefore(each.deadline)) {
                onTimeout(each);
            } else {
                checkStall(each, now);
            }
        }
    }

    private void checkStall(PendingForward each, Instant now) {
        if (each.stallCounted
                || Duration.between(each.lastProgress, now).compareTo(stallTimeout(each)) < 0) {
            return;
        }
        each.stallCounted = true;
        FleetServer server = each.server;
        server.recordOutcome(true, now);
        if (!each.mayRunAgain()
                || choose(each, Set.of(server.id()), now).isEmpty()
                || !budget(each.service).tryAcquire(now)) {
            return;
        }
        commands.add(new ForwardingCommand.CancelAttempt(each.request.key()));
        releaseServer(each, Optional.empty(), now);
        each.excluded.add(server.id());
        dispatch(each, now);
    }

    private static Duration stallTimeout(PendingForward each) {
        if (each.state == PendingForward.State.STREAMING) {
            return STREAM_STALL_TIMEOUT;
        }
        Duration target = each.route.targetLatency();
        if (each.route.kind() == RequestKind.STREAMING) {
            return longer(MIN_STREAM_START_TIMEOUT, target.multipliedBy(3).dividedBy(2));
        }
        return longer(MIN_ANSWER_TIMEOUT, target.multipliedBy(ANSWER_TIMEOUT_IN_TARGETS));
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
