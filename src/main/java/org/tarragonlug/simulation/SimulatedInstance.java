package org.tarragonlug.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.forwarding.AnswerProgress;
import org.tarragonlug.decision.forwarding.ForwardAttempt;
import org.tarragonlug.decision.forwarding.ForwardRequest;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.ForwardingCoordinator;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ForwardingLimits;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.forwarding.SlotRefusal;
import org.tarragonlug.decision.placement.DemandCollector;
import org.tarragonlug.decision.placement.DemandCollector.Audience;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ReservationId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.measure.VirtualTime;

/** An instance: a forwarding coordinator whose commands reach simulated servers and callers. */
final class SimulatedInstance {
    /** Receives the answers to a caller. */
    interface Caller {
        void onEvent(int event);

        /** Called when the request is sent to a server that holds its model. */
        void onSent();

        void onAnswered();

        void onRefused(Optional<Duration> retryAfter);

        void onFailed();
    }

    private static final Duration WAITING_TICK = Duration.ofMillis(40);
    private static final Duration IDLE_TICK = Duration.ofMillis(100);
    private static final Duration REPORT_PERIOD = Duration.ofMillis(400);
    private static final double NETWORK_MILLIS = 0.7;
    private static final int WINDOW_SECONDS = 10;
    private static final double RETRY_RATIO = 0.2;
    private static final double RETRY_ALLOWANCE = 200;

    private static final class Call {
        private final CallerRequest request;
        private final Caller caller;
        private final Map<ForwardAttempt, Answers> attempts = new HashMap<>(2);

        Call(CallerRequest request, Caller caller) {
            this.request = request;
            this.caller = caller;
        }
    }

    private final InstanceId id;
    private final VirtualTime time;
    private final Map<ServerId, ModelServer> servers;
    private final SimulatedPlanner planner;
    private final FleetRecorder recorder;
    private final ForwardingCoordinator coordinator;
    private final DemandCollector demand;
    private final SimulatedQuarantine quarantine;
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<ServerId, Long> listingVersions = new HashMap<>();
    private final Deque<ForwardingEvent> events = new ArrayDeque<>();
    private long callCount;
    private boolean processing;
    private boolean reportScheduled;
    private boolean tickScheduled;

    SimulatedInstance(
            int number,
            FleetScenario scenario,
            VirtualTime time,
            Map<ServerId, ModelServer> servers,
            SimulatedPlanner planner,
            FleetRecorder recorder,
            Hasher hasher) {
        this.id = new InstanceId("instance-" + number);
        this.time = time;
        this.servers = servers;
        this.planner = planner;
        this.recorder = recorder;
        this.coordinator =
                new ForwardingCoordinator(
                        id.value(),
                        new FailureDomain("domain-" + number % scenario.domains()),
                        hasher,
                        new ForwardingLimits(
                                Duration.ofSeconds(WINDOW_SECONDS),
                                RETRY_RATIO,
                                RETRY_ALLOWANCE,
                                scenario.instances()));
        this.demand = new DemandCollector(this::scheduleUrgentReport);
        this.quarantine = new SimulatedQuarantine(number, time, servers, this::post);
    }

    SimulatedQuarantine quarantine() {
        return quarantine;
    }

    InstanceId id() {
        return id;
    }

    void start(ForwardingTable table, double offsetMillis) {
        post(new ForwardingEvent.TableInstalled(table));
        time.afterMillis(offsetMillis, this::reportPeriodically);
        time.afterMillis(offsetMillis, this::tickPeriodically);
        quarantine.start();
    }

    private void reportPeriodically() {
        report();
        time.after(REPORT_PERIOD, this::reportPeriodically);
    }

    private void tickPeriodically() {
        quarantine.tick();
        post(new ForwardingEvent.Tick());
        time.after(IDLE_TICK, this::tickPeriodically);
    }

    private void scheduleUrgentReport() {
        if (!reportScheduled) {
            reportScheduled = true;
            time.afterMillis(
                    2,
                    () -> {
                        reportScheduled = false;
                        report();
                    });
        }
    }

    private void report() {
        List<ModelDemand> demands = demand.collect(Audience.PLANNER, time.now());
        Map<ServerId, Integer> inFlight = coordinator.fleet().inFlight();
        Set<ServerId> unreachable = coordinator.fleet().unreachable(time.now());
        Map<ServerId, Integer> answerPaces = coordinator.fleet().takeAnswerPaces();
        Map<ServerId, Integer> statedPaces = coordinator.fleet().statedPaces(time.now());
        time.afterMillis(
                NETWORK_MILLIS,
                () ->
                        planner.onReport(
                                this, demands, inFlight, unreachable, answerPaces, statedPaces));
    }

    /** Receives a listing, unless a newer one of the same server has overtaken it. */
    void onServerListed(ServerListing listing, long version) {
        if (version > listingVersions.getOrDefault(listing.id(), 0L)) {
            listingVersions.put(listing.id(), version);
            post(new ForwardingEvent.ServerListed(listing));
        }
    }

    /** Receives a notice of the planner. */
    void onNotice(List<ForwardingEvent> news) {
        time.afterMillis(NETWORK_MILLIS, () -> news.forEach(this::post));
    }

    /** Accepts a request of a caller; returns the number of the call. */
    long onRequest(CallerRequest request, Caller caller) {
        callCount++;
        long key = callCount;
        calls.put(key, new Call(request, caller));
        Duration left =
                request.profile.timeout().minus(Duration.between(request.arrivedAt, time.now()));
        post(
                new ForwardingEvent.RequestArrived(
                        new ForwardRequest(
                                key,
                                request.number + "-" + request.attempts,
                                FleetSimulation.HOST,
                                FleetSimulation.path(request.profile),
                                Optional.of(left),
                                Optional.of(request.model),
                                request.prefix,
                                request.ownTokens + request.prefix.tokens(),
                                request.events,
                                request.lastEvent,
                                request.number)));
        return key;
    }

    void onCallerLeft(long key) {
        if (calls.containsKey(key)) {
            post(new ForwardingEvent.CallerDisconnected(key));
            calls.remove(key);
        }
    }

    void post(ForwardingEvent event) {
        events.add(event);
        if (processing) {
            return;
        }
        processing = true;
        for (ForwardingEvent next = events.poll(); next != null; next = events.poll()) {
            coordinator.handle(next, time.now()).forEach(this::execute);
        }
        processing = false;
        if (!tickScheduled && coordinator.waitingCount() > 0) {
            tickScheduled = true;
            time.after(
                    WAITING_TICK,
                    () -> {
                        tickScheduled = false;
                        post(new ForwardingEvent.Tick());
                    });
        }
    }

    private void execute(ForwardingCommand command) {
        if (command instanceof ForwardingCommand.Send send) {
            send(send);
        } else if (command instanceof ForwardingCommand.RelayAnswer answer) {
            calls.remove(answer.request()).caller.onAnswered();
        } else if (command instanceof ForwardingCommand.Refuse refuse) {
            Call call = calls.remove(refuse.request());
            recorder.countOutcome(call.request.profile, refuse.reason());
            call.caller.onRefused(refuse.retryAfter());
        } else if (command instanceof ForwardingCommand.Fail fail) {
            Call call = calls.remove(fail.request());
            recorder.countOutcome(call.request.profile, fail.reason());
            call.caller.onFailed();
        } else if (command instanceof ForwardingCommand.CancelAttempt cancel) {
            cancel(calls.get(cancel.request()), cancel.attempt());
        } else if (command instanceof ForwardingCommand.ReserveSlot reserve) {
            reserve(reserve);
        } else if (command instanceof ForwardingCommand.ReportWaiting wait) {
            demand.recordWait(wait, time.now());
        } else if (command instanceof ForwardingCommand.ReportArrival arrival) {
            demand.recordArrival(arrival.service(), arrival.key());
        } else {
            quarantine.onCommand(command);
        }
    }

    private void cancel(Call call, ForwardAttempt attempt) {
        Answers answers = call == null ? null : call.attempts.remove(attempt);
        if (answers != null) {
            time.afterMillis(NETWORK_MILLIS, () -> answers.server.cancel(answers.run));
        }
    }

    /** Answers whether a slot is free. The slot is not kept, so a request may find it taken. */
    private void reserve(ForwardingCommand.ReserveSlot reserve) {
        ModelServer server = servers.get(reserve.server());
        time.afterMillis(2 * NETWORK_MILLIS, () -> post(answer(reserve, server.hasFreeSlot())));
    }

    private static ForwardingEvent answer(ForwardingCommand.ReserveSlot reserve, boolean free) {
        return free
                ? new ForwardingEvent.SlotReserved(
                        reserve.attempt(),
                        reserve.server(),
                        reserve.address(),
                        new ReservationId("slot"))
                : new ForwardingEvent.SlotNotReserved(reserve.attempt(), SlotRefusal.NO_ROOM);
    }

    private void send(ForwardingCommand.Send send) {
        Call call = calls.get(send.request());
        ModelServer server = servers.get(send.server());
        CallerRequest request = call.request;
        recorder.sends++;
        Answers answers = new Answers(send.attempt(), call, server);
        ServerRun run =
                new ServerRun(
                        request.model,
                        request.prefix,
                        request.ownTokens,
                        send.urgency(),
                        request.lastEvent + 1,
                        request.events,
                        answers);
        answers.run = run;
        call.attempts.put(send.attempt(), answers);
        if (server.isReady(request.model)) {
            call.caller.onSent();
        }
        time.afterMillis(NETWORK_MILLIS, () -> server.onRequest(run));
    }

    /** Passes the answers of a server to the coordinator and the caller. */
    private final class Answers implements ServerRun.Listener {
        private final ForwardAttempt attempt;
        private final Call call;
        private final ModelServer server;
        private AnswerProgress progress = AnswerProgress.NOTHING;
        private ServerRun run;

        Answers(ForwardAttempt attempt, Call call, ModelServer server) {
            this.attempt = attempt;
            this.call = call;
            this.server = server;
        }

        /** Acts after the time on the network, unless the attempt or the request has ended. */
        private void deliver(Runnable action) {
            time.afterMillis(
                    NETWORK_MILLIS,
                    () -> {
                        if (calls.get(attempt.request()) == call
                                && call.attempts.get(attempt) == this) {
                            action.run();
                        }
                    });
        }

        @Override
        public void onRejected(Rejection rejection, Optional<ReportedLoad> load) {
            recorder.countRejection(rejection);
            deliver(() -> post(new ForwardingEvent.Rejected(attempt, rejection, load)));
        }

        @Override
        public void onStarted(ReportedLoad load) {
            deliver(
                    () -> {
                        progress = AnswerProgress.HEAD;
                        post(new ForwardingEvent.StreamStarted(attempt, Optional.of(load)));
                    });
        }

        @Override
        public void onEvent(long event) {
            deliver(
                    () -> {
                        progress = AnswerProgress.CONTENT;
                        if (coordinator.isPrimary(attempt)) {
                            call.caller.onEvent((int) event);
                        }
                        post(new ForwardingEvent.EventRelayed(attempt, event));
                    });
        }

        @Override
        public void onCompleted(ReportedLoad load) {
            deliver(() -> post(new ForwardingEvent.Answered(attempt, 200, Optional.of(load))));
        }

        @Override
        public void onBroken() {
            deliver(() -> post(new ForwardingEvent.ConnectionBroken(attempt, progress)));
        }
    }

    Instant now() {
        return time.now();
    }
}
