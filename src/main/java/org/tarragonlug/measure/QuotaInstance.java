package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.quota.AllowanceNotice;
import org.tarragonlug.decision.quota.AllowanceQueue;
import org.tarragonlug.decision.quota.AllowanceRequest;
import org.tarragonlug.decision.quota.InstanceTotal;
import org.tarragonlug.decision.quota.QuotaBorrower;
import org.tarragonlug.decision.quota.QuotaLender;
import org.tarragonlug.decision.quota.QuotaTolerance;
import org.tarragonlug.decision.quota.TakeResult;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;

/**
 * One instance of the simulation: its borrower, its lender, and as much of the exchange between
 * instances as decides who plans and what is asked when.
 */
final class QuotaInstance {
    private static final double REPORT_MILLIS = 400;
    private static final double TICK_MILLIS = 40;
    private static final double URGENT_DELAY_MILLIS = 2;
    private static final Duration PLANNER_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration HOLDER_TIMEOUT = Duration.ofMillis(1000);
    private static final Duration PLANNING_DELAY = Duration.ofMillis(500);
    private static final Duration REPORTER_TIMEOUT = Duration.ofSeconds(3);

    private final int number;
    private final QuotaSimulation simulation;
    private final SplittableRandom random;
    private final Deque<Runnable> delayed = new ArrayDeque<>();
    private int run;
    private boolean alive;
    private boolean paused;

    private QuotaBorrower borrower;
    private QuotaLender lender;
    private InstanceTotal total;
    private AllowanceQueue<QuotaRequest> queue;
    private final Map<Integer, Instant> planners = new HashMap<>();
    private final Map<Integer, Instant> holders = new HashMap<>();
    private final Map<Integer, Instant> reporters = new HashMap<>();
    private boolean planning;
    private Instant lowestSince;
    private boolean urgentScheduled;

    QuotaInstance(int number, QuotaSimulation simulation, SplittableRandom random) {
        this.number = number;
        this.simulation = simulation;
        this.random = random;
    }

    private InstanceId id() {
        return simulation.id(number);
    }

    boolean isAlive() {
        return alive;
    }

    boolean isServing() {
        return alive && !paused;
    }

    boolean isPlanning() {
        return alive && planning;
    }

    /** Starts a process that knows nothing. */
    void start(Map<AccountName, Quota> quotas, QuotaTolerance tolerance) {
        alive = true;
        paused = false;
        run++;
        total = new InstanceTotal();
        borrower = new QuotaBorrower(Optional.of(tolerance), total, random.nextInt() & 0x7fffffffL);
        lender = new QuotaLender(Optional.of(tolerance), total);
        queue = new AllowanceQueue<>(borrower);
        planning = false;
        lowestSince = null;
        urgentScheduled = false;
        planners.clear();
        holders.clear();
        reporters.clear();
        install(quotas);
        int process = run;
        simulation.time().afterMillis(random.nextDouble() * REPORT_MILLIS, () -> report(process));
        simulation.time().afterMillis(random.nextDouble() * TICK_MILLIS, () -> tick(process));
    }

    /** Ends the process; requests that wait are lost with it. */
    void end() {
        alive = false;
        delayed.clear();
    }

    void pause() {
        paused = true;
    }

    /** Lets everything happen that was due during the pause. */
    void resume() {
        paused = false;
        while (!delayed.isEmpty() && isServing()) {
            delayed.poll().run();
        }
    }

    void install(Map<AccountName, Quota> quotas) {
        borrower.onTableInstalled(quotas, simulation.now());
        lender.onTableInstalled(quotas);
    }

    /** Installs quotas in a process that was running when they were written. */
    void installLater(int process, Map<AccountName, Quota> quotas) {
        if (process == run && alive) {
            install(quotas);
        }
    }

    /** Runs an action in the process that was running when it was scheduled, after any pause. */
    private void execute(int process, Runnable action) {
        if (!alive || process != run) {
            return;
        }
        if (paused) {
            delayed.add(action);
        } else {
            action.run();
        }
    }

    private void tick(int process) {
        execute(
                process,
                () -> {
                    updatePlanning();
                    borrower.onTick(simulation.now());
                    decideWaiting();
                    simulation.time().afterMillis(TICK_MILLIS, () -> tick(process));
                });
    }

    private void updatePlanning() {
        Instant now = simulation.now();
        boolean lowest = simulation.mayHold(number);
        for (Map.Entry<Integer, Instant> holder : holders.entrySet()) {
            boolean heard = now.isBefore(holder.getValue().plus(HOLDER_TIMEOUT));
            lowest &= !(heard && holder.getKey() < number);
        }
        if (!lowest) {
            lowestSince = null;
        } else if (lowestSince == null) {
            lowestSince = now;
        }
        boolean should = lowest && !now.isBefore(lowestSince.plus(PLANNING_DELAY));
        if (should != planning) {
            planning = should;
            lender.reset();
        }
    }

    private void report(int process) {
        execute(
                process,
                () -> {
                    sendReport();
                    double jitter = random.nextDouble() * 20;
                    simulation.time().afterMillis(REPORT_MILLIS + jitter, () -> report(process));
                });
    }

    private Set<InstanceId> knownPlanners() {
        Instant now = simulation.now();
        planners.values().removeIf(at -> now.isAfter(at.plus(PLANNER_TIMEOUT)));
        Set<InstanceId> known = new HashSet<>();
        planners.keySet().forEach(each -> known.add(simulation.id(each)));
        if (planning) {
            known.add(id());
        }
        return known;
    }

    private void sendReport() {
        Instant now = simulation.now();
        if (planning) {
            reporters.values().removeIf(at -> now.isAfter(at.plus(REPORTER_TIMEOUT)));
            total.onCounted(reporters.size() + 1, hearsAllHolders(now), now);
        }
        borrower.onLenders(knownPlanners(), now);
        Optional<AllowanceRequest> request =
                borrower.asksRecently(now) ? Optional.empty() : borrower.demands(now);
        Optional<InstanceId> receiver = borrower.lender();
        if (request.isPresent() && receiver.get().equals(id())) {
            answerOwn(request.get());
            request = Optional.empty();
        }
        int lenderNumber = receiver.map(simulation::number).orElse(-1);
        for (int holder : simulation.holders()) {
            if (holder != number) {
                Optional<AllowanceRequest> own =
                        holder == lenderNumber ? request : Optional.empty();
                sendReportTo(holder, own);
            }
        }
    }

    private boolean hearsAllHolders(Instant now) {
        for (int holder : simulation.leaseHolders()) {
            Instant heard = holders.get(holder);
            if (holder != number && (heard == null || !now.isBefore(heard.plus(HOLDER_TIMEOUT)))) {
                return false;
            }
        }
        return true;
    }

    private void sendReportTo(int holder, Optional<AllowanceRequest> request) {
        request.ifPresent(
                each ->
                        simulation.countBytes(
                                number, holder, report(request), report(Optional.empty())));
        QuotaInstance receiver = simulation.instance(holder);
        int process = receiver.run;
        simulation
                .network()
                .send(
                        number,
                        holder,
                        () -> receiver.execute(process, () -> receiver.onReport(number, request)));
    }

    private static PeerMessage report(Optional<AllowanceRequest> request) {
        return new GatewayMessage.ModelDemandReport(
                1, List.of(), Map.of(), List.of(), Map.of(), Map.of(), Optional.empty(), request);
    }

    private static PeerMessage notice(Optional<AllowanceNotice> notice) {
        return new GatewayMessage.PlacementNotice(
                1, List.of(), true, 0, List.of(), List.of(), Map.of(), List.of(), Map.of(),
                Map.of(), List.of(), notice);
    }

    private void onReport(int from, Optional<AllowanceRequest> request) {
        Instant now = simulation.now();
        reporters.put(from, now);
        if (simulation.mayHold(from)) {
            holders.put(from, now);
        }
        boolean plans = planning;
        Optional<AllowanceNotice> grants =
                request.filter(each -> plans).map(each -> lend(from, each));
        grants.ifPresent(
                each ->
                        simulation.countBytes(
                                from, number, notice(grants), notice(Optional.empty())));
        QuotaInstance receiver = simulation.instance(from);
        int process = receiver.run;
        simulation
                .network()
                .send(
                        number,
                        from,
                        () ->
                                receiver.execute(
                                        process, () -> receiver.onNotice(number, plans, grants)));
    }

    private AllowanceNotice lend(int from, AllowanceRequest request) {
        InstanceId borrowerId = simulation.id(from);
        lender.onDemands(borrowerId, simulation.now());
        return lender.grantsFor(borrowerId, request, simulation.now());
    }

    private void answerOwn(AllowanceRequest request) {
        if (planning) {
            AllowanceNotice notice = lend(number, request);
            borrower.onGrants(id(), notice, simulation.now());
            decideWaiting();
        }
    }

    private void onNotice(int from, boolean plans, Optional<AllowanceNotice> grants) {
        Instant now = simulation.now();
        if (plans) {
            planners.put(from, now);
        } else {
            planners.remove(from);
        }
        borrower.onLenders(knownPlanners(), now);
        grants.ifPresent(each -> borrower.onGrants(simulation.id(from), each, now));
        decideWaiting();
    }

    /** Handles a request that has arrived. */
    void onRequest(QuotaRequest request) {
        int process = run;
        execute(process, () -> handle(request));
    }

    private void handle(QuotaRequest request) {
        Optional<TakeResult> result =
                queue.offer(request, request.account(), request.cost(), simulation.now());
        if (result.isPresent()) {
            simulation.onDecided(this, request, result.get());
        } else {
            simulation.countWaited();
            scheduleUrgent();
        }
    }

    private void scheduleUrgent() {
        if (!urgentScheduled) {
            urgentScheduled = true;
            int process = run;
            simulation
                    .time()
                    .afterMillis(URGENT_DELAY_MILLIS, () -> execute(process, this::sendUrgent));
        }
    }

    private void sendUrgent() {
        urgentScheduled = false;
        Instant now = simulation.now();
        borrower.onLenders(knownPlanners(), now);
        Optional<AllowanceRequest> request = borrower.demands(now);
        if (request.isEmpty()) {
            return;
        }
        int to = simulation.number(borrower.lender().get());
        if (to == number) {
            answerOwn(request.get());
            return;
        }
        simulation.countCall(number, to, new GatewayMessage.QuotaCall(1, request.get()));
        QuotaInstance receiver = simulation.instance(to);
        int process = receiver.run;
        simulation
                .network()
                .send(
                        number,
                        to,
                        () ->
                                receiver.execute(
                                        process, () -> receiver.onCall(number, request.get())));
    }

    private void onCall(int from, AllowanceRequest request) {
        if (!planning) {
            return;
        }
        AllowanceNotice grants = lend(from, request);
        simulation.countCall(from, number, new GatewayMessage.QuotaGrant(1, grants));
        QuotaInstance receiver = simulation.instance(from);
        int process = receiver.run;
        simulation
                .network()
                .send(
                        number,
                        from,
                        () ->
                                receiver.execute(
                                        process,
                                        () -> {
                                            receiver.borrower.onGrants(
                                                    id(), grants, simulation.now());
                                            receiver.decideWaiting();
                                        }));
    }

    private void decideWaiting() {
        for (AllowanceQueue.Decided<QuotaRequest> decided : queue.poll(simulation.now())) {
            simulation.onDecided(this, decided.request(), decided.result());
        }
    }

    void giveBack(QuotaRequest request, TakeResult.Taken taken, int process) {
        execute(
                process,
                () -> {
                    request.markNotRun();
                    borrower.giveBack(taken.charge(), simulation.now());
                });
    }

    int run() {
        return run;
    }
}
