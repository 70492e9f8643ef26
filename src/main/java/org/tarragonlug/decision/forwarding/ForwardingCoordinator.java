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

    private static final int MOST_REJECTIONS = 3;

    /** How long a request for a plain service waits for a server to appear. */
    private static final Duration SERVER_WAIT = Duration.ofMillis(250);

    private static final Duration NOT_READY_RETRY = Duration.ofMillis(500);

    /** Another instance can take the request at once. */
    private static final Duration STOPPING_RETRY = Duration.ofMillis(20);

    private static final Duration TURNED_AWAY_RETRY = Duration.ofMillis(150);

    /** A stream that has begun is taken as stalled after this pause. */
    private static final Duration STREAM_STALL = Duration.ofMillis(1200);

    private static final Duration SHORTEST_STREAM_STALL = Duration.ofMillis(1000);
    private static final Duration SHORTEST_CALL_STALL = Duration.ofMillis(350);
    private static final int CALL_STALL_IN_TARGETS = 3;

    /** How often the want of a model is stated again while a request waits. */
    private static final Duration WANT_REPEAT = Duration.ofMillis(250);

    /** When a server crashes, its other connections break a moment after the first. */
    private static final Duration SAME_SERVER_PAUSE = Duration.ofMillis(400);

    private static final int SERVER_ERROR = 500;

    private final Fleet fleet;
    private final ServerChoice choice;
    private final Hasher hasher;
    private final ForwardingLimits limits;
    private final InstanceCount instances;
    private final Map<Long, PendingForward> pending = new LinkedHashMap<>();
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
    private final Map<ServiceName, Map<ModelKey, Instant>> expectations = new HashMap<>();
    private ForwardingTable table;
    private boolean waitingEnds;
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
        this.choice = new ServerChoice(fleet, home, hasher);
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
                .filter(each -> each.place == PendingForward.Place.WAITING)
                .count();
    }

    @Override
    public List<ForwardingCommand> handle(ForwardingEvent event, Instant now) {
        commands = new ArrayList<>();
        if (event instanceof ForwardingEvent.Arrived arrived) {
            arrived(arrived.request(), now);
        } else if (event instanceof ForwardingEvent.Rejected rejected) {
            find(rejected.request()).ifPresent(each -> rejected(each, rejected, now));
        } else if (event instanceof ForwardingEvent.StreamStarted started) {
            find(started.request()).ifPresent(each -> streamStarted(each, started, now));
        } else if (event instanceof ForwardingEvent.EventPassed passed) {
            find(passed.request()).ifPresent(each -> eventPassed(each, passed, now));
        } else if (event instanceof ForwardingEvent.Answered answered) {
            find(answered.request()).ifPresent(each -> answered(each, answered, now));
        } else if (event instanceof ForwardingEvent.Broken broken) {
            find(broken.request()).ifPresent(each -> broken(each, now));
        } else if (event instanceof ForwardingEvent.CallerGone gone) {
            find(gone.request()).ifPresent(this::callerGone);
        } else if (event instanceof ForwardingEvent.TableInstalled installed) {
            table = installed.table();
        } else if (event instanceof ForwardingEvent.ServerListed listed) {
            fleet.listed(listed.listing());
            offerWaiting(now);
        } else if (event instanceof ForwardingEvent.ServerGone gone) {
            fleet.gone(gone.server());
        } else if (event instanceof ForwardingEvent.ReplicaAnnounced announced) {
            fleet.server(announced.server()).ifPresent(server -> announce(server, announced));
            offerWaiting(now);
        } else if (event instanceof ForwardingEvent.ReadyExpected expected) {
            expectations
                    .computeIfAbsent(expected.service(), each -> new HashMap<>())
                    .put(expected.key(), expected.ready());
            offerWaiting(now);
        } else if (event instanceof ForwardingEvent.InstancesCounted counted) {
            instances.counted(counted.instances(), now);
        } else if (event instanceof ForwardingEvent.WaitingEnds) {
            waitingEnds = true;
            offerWaiting(now);
        } else {
            tick(now);
        }
        return commands;
    }

    private static void announce(FleetServer server, ForwardingEvent.ReplicaAnnounced announced) {
        if (announced.held()) {
            server.announce(announced.key(), announced.until());
        } else {
            server.dropped(announced.key(), announced.until());
        }
    }

    private Optional<PendingForward> find(long key) {
        return Optional.ofNullable(pending.get(key));
    }

    private void arrived(ForwardRequest request, Instant now) {
        if (table == null) {
            refuse(request.key(), RefusalReason.NO_CONFIGURATION, NOT_READY_RETRY);
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
                .ifPresent(key -> commands.add(new ForwardingCommand.Arrival(each.service, key)));
        offer(each, now);
    }

    private PendingForward newPending(ForwardRequest request, ForwardingRoute route, Instant now) {
        Duration time = route.timeout();
        if (request.budget().isPresent() && request.budget().get().compareTo(time) < 0) {
            time = request.budget().get();
        }
        Instant deadline = now.plus(time).minus(ANSWER_MARGIN);
        Instant patienceEnd = deadline;
        if (route.patience().isPresent()) {
            Instant patient = now.plus(route.patience().get()).minus(ANSWER_MARGIN);
            patienceEnd = patient.isBefore(deadline) ? patient : deadline;
        }
        ServiceName service = route.target(hasher.hash(request.callerId()));
        return new PendingForward(request, route, service, deadline, patienceEnd, now);
    }

    /** Sends a waiting request if a server can take it; otherwise lets it wait or refuses it. */
    private void offer(PendingForward each, Instant now) {
        Instant end = each.streamStarted ? each.deadline : each.patienceEnd;
        if (!now.isBefore(end)) {
            timeOver(each);
            return;
        }
        Optional<FleetServer> server = choose(each, each.excluded, now);
        boolean paused = now.isBefore(each.brokenAt.plus(SAME_SERVER_PAUSE));
        if (server.isEmpty() && !each.excluded.isEmpty() && isEngine(each) && !paused) {
            // Another server is better, but the same one is better than none.
            server = choose(each, Set.of(), now);
        }
        if (server.isPresent()) {
            send(each, server.get(), now);
        } else if (waitingEnds) {
            end(each);
            refuseOrFail(each, RefusalReason.STOPPING, STOPPING_RETRY);
        } else if (isEngine(each)) {
            waitForModel(each, now);
        } else if (!each.excluded.isEmpty()) {
            end(each);
            refuseOrFail(each, RefusalReason.TURNED_AWAY, TURNED_AWAY_RETRY);
        } else if (Duration.between(each.lastProgress, now).compareTo(SERVER_WAIT) >= 0) {
            end(each);
            refuseOrFail(each, RefusalReason.NO_SERVER, NOT_READY_RETRY);
        }
    }

    private boolean isEngine(PendingForward each) {
        return each.request.model().isPresent();
    }

    private Optional<FleetServer> choose(PendingForward each, Set<ServerId> excluded, Instant now) {
        return choice.choose(
                each.service, each.request.model(), each.request.prefix(), excluded, now);
    }

    private void waitForModel(PendingForward each, Instant now) {
        ModelKey key = each.request.model().orElseThrow();
        Instant ready = expectations.getOrDefault(each.service, Map.of()).get(key);
        if (ready != null && ready.isAfter(each.patienceEnd) && now.isBefore(ready)) {
            end(each);
            refuseOrFail(each, RefusalReason.MODEL_NOT_READY, Duration.between(now, ready));
            return;
        }
        if (Duration.between(each.wantedAt, now).compareTo(WANT_REPEAT) >= 0) {
            each.wantedAt = now;
            commands.add(
                    new ForwardingCommand.Wanted(
                            each.service,
                            key,
                            each.route.priority(),
                            each.arrivedAt.plus(each.route.targetLatency()),
                            each.patienceEnd));
        }
    }

    private void send(PendingForward each, FleetServer server, Instant now) {
        if (each.runs == 0 && each.rejections == 0) {
            budget(each.service).firstSend(now);
        }
        each.place = PendingForward.Place.SENT;
        each.server = server;
        each.runs++;
        each.stallCounted = false;
        each.lastProgress = now;
        server.sent();
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

    private void rejected(PendingForward each, ForwardingEvent.Rejected event, Instant now) {
        FleetServer server = leaveServer(each, event.load(), now);
        each.runs--;
        each.excluded.add(server.id());
        switch (event.rejection()) {
            case MODEL_ABSENT -> each.request.model().ifPresent(key -> server.absent(key, now));
            case WRONG_SERVER, UNREACHABLE -> server.unreachable(now);
            default -> server.outcome(false, now);
        }
        if (event.rejection() != Rejection.UNREACHABLE) {
            each.rejections++;
            if (each.rejections > MOST_REJECTIONS || !budget(each.service).tryRepeat(now)) {
                end(each);
                refuseOrFail(each, RefusalReason.TURNED_AWAY, TURNED_AWAY_RETRY);
                return;
            }
        }
        offer(each, now);
    }

    private void streamStarted(
            PendingForward each, ForwardingEvent.StreamStarted event, Instant now) {
        event.load().ifPresent(load -> each.server.loadStated(load, now));
        each.place = PendingForward.Place.STREAMING;
        each.streamStarted = true;
        each.lastProgress = now;
    }

    private void eventPassed(PendingForward each, ForwardingEvent.EventPassed event, Instant now) {
        each.lastEventId = event.eventId();
        each.lastProgress = now;
        each.stallCounted = false;
    }

    private void answered(PendingForward each, ForwardingEvent.Answered event, Instant now) {
        FleetServer server = leaveServer(each, event.load(), now);
        boolean failed = event.status() >= SERVER_ERROR;
        server.outcome(failed, now);
        if (failed && !each.streamStarted && each.mayRunAgain() && now.isBefore(each.deadline)) {
            each.excluded.add(server.id());
            Optional<FleetServer> other = choose(each, each.excluded, now);
            if (other.isPresent() && budget(each.service).tryRepeat(now)) {
                send(each, other.get(), now);
                return;
            }
        }
        end(each);
        commands.add(new ForwardingCommand.PassAnswer(each.request.key()));
    }

    private void broken(PendingForward each, Instant now) {
        FleetServer server = leaveServer(each, Optional.empty(), now);
        server.outcome(true, now);
        each.excluded.add(server.id());
        each.brokenAt = now;
        again(each, FailureReason.SERVER_LOST, now);
    }

    private void again(PendingForward each, FailureReason reason, Instant now) {
        if (each.mayRunAgain() && budget(each.service).tryRepeat(now)) {
            offer(each, now);
            return;
        }
        end(each);
        commands.add(new ForwardingCommand.Fail(each.request.key(), reason));
    }

    private void callerGone(PendingForward each) {
        end(each);
        if (each.place != PendingForward.Place.WAITING) {
            each.server.ended();
            commands.add(new ForwardingCommand.CancelAttempt(each.request.key()));
        }
    }

    private FleetServer leaveServer(PendingForward each, Optional<ReportedLoad> load, Instant now) {
        FleetServer server = each.server;
        load.ifPresent(stated -> server.loadStated(stated, now));
        server.ended();
        each.place = PendingForward.Place.WAITING;
        each.lastProgress = now;
        return server;
    }

    private void end(PendingForward each) {
        pending.remove(each.request.key());
    }

    private void timeOver(PendingForward each) {
        end(each);
        if (each.place != PendingForward.Place.WAITING) {
            each.server.ended();
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

    private void offerWaiting(Instant now) {
        for (PendingForward each : new ArrayList<>(pending.values())) {
            if (each.place == PendingForward.Place.WAITING) {
                offer(each, now);
            }
        }
    }

    private void tick(Instant now) {
        for (PendingForward each : new ArrayList<>(pending.values())) {
            if (each.place == PendingForward.Place.WAITING) {
                offer(each, now);
            } else if (!now.isBefore(each.deadline)) {
                timeOver(each);
            } else {
                checkStall(each, now);
            }
        }
    }

    private void checkStall(PendingForward each, Instant now) {
        if (each.stallCounted
                || Duration.between(each.lastProgress, now).compareTo(stallLimit(each)) < 0) {
            return;
        }
        each.stallCounted = true;
        FleetServer server = each.server;
        server.outcome(true, now);
        if (!each.mayRunAgain()
                || choose(each, Set.of(server.id()), now).isEmpty()
                || !budget(each.service).tryRepeat(now)) {
            return;
        }
        commands.add(new ForwardingCommand.CancelAttempt(each.request.key()));
        leaveServer(each, Optional.empty(), now);
        each.excluded.add(server.id());
        offer(each, now);
    }

    private static Duration stallLimit(PendingForward each) {
        if (each.place == PendingForward.Place.STREAMING) {
            return STREAM_STALL;
        }
        Duration target = each.route.targetLatency();
        if (each.route.kind() == RequestKind.STREAMING) {
            return longer(SHORTEST_STREAM_STALL, target.multipliedBy(3).dividedBy(2));
        }
        return longer(SHORTEST_CALL_STALL, target.multipliedBy(CALL_STALL_IN_TARGETS));
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
