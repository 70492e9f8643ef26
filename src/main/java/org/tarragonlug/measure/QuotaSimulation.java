package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.account.QuotaUnit;
import org.tarragonlug.decision.quota.QuotaTolerance;
import org.tarragonlug.decision.quota.TakeResult;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.peer.PeerCodec;
import org.tarragonlug.peer.PeerMessage;

/**
 * Quotas over many instances in virtual time: borrowers and lenders as in the program, a simplified
 * exchange of messages, and all faults of docs/design/quotas.md. Requests are charged to the window
 * in which their callers sent them, even if a paused instance reads them later.
 */
final class QuotaSimulation {
    private static final int ACCOUNTS = 16;
    private static final double TOTAL_RATE = 200_000;
    private static final double BURST_SECONDS = 2;
    private static final double MIN_COST = 200;
    private static final double MEAN_ADDITIONAL_COST = 400;
    private static final Duration WINDOW = Duration.ofSeconds(8);
    private static final double OVERAGE = 0.1;
    private static final int HOLDERS = 8;
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration MOVE_PERIOD = Duration.ofSeconds(5);
    private static final Duration LEASE_TIME = Duration.ofSeconds(11);
    private static final Duration APPLY_TIME = Duration.ofSeconds(3);
    private static final int BURST_LENGTH_SECONDS = 8;
    private static final double NOT_RUN_SHARE = 0.05;
    private static final double REDUCTION = 0.5;
    private static final int FRAME_PREFIX_BYTES = 4;

    private final QuotaScenario scenario;
    private final QuotaTolerance tolerance;
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime();
    private final QuotaNetwork network;
    private final List<QuotaInstance> instances = new ArrayList<>();
    private final Map<InstanceId, Integer> numbers = new HashMap<>();
    private final Map<Integer, Instant> lastAlive = new HashMap<>();
    private final Map<AccountName, Quota> fullQuotas = new LinkedHashMap<>();
    private Map<AccountName, Quota> quotas;
    private Instant reducedEverywhereAt;
    private final Map<AccountName, QuotaWindow> windows = new HashMap<>();
    private final Map<AccountName, QuotaWindow> reducedWindows = new HashMap<>();
    private final Map<AccountName, QuotaBucket> used = new HashMap<>();
    private final Map<AccountName, QuotaBucket> global = new HashMap<>();
    private final Map<AccountName, QuotaBucket[]> equal = new HashMap<>();
    private final PeerCodec codec =
            new PeerCodec(new ProcessId("0123456789ab-0123456789ab-01234567"));
    private long requests;
    private double totalCost;
    private double admitted;
    private long refusedWithin;
    private long waited;
    private long bytes;
    private double globalAdmitted;
    private double equalAdmitted;

    QuotaSimulation(QuotaScenario scenario, long seed) {
        this.scenario = scenario;
        this.tolerance = new QuotaTolerance(WINDOW, OVERAGE, scenario.slack());
        this.random = new SplittableRandom(seed);
        boolean unreliable = scenario.faults() == QuotaScenario.Faults.ALL;
        this.network = new QuotaNetwork(scenario.instances(), unreliable, time, random.split());
        double weights = 0;
        for (int account = 1; account <= ACCOUNTS; account++) {
            weights += 1.0 / account;
        }
        for (int account = 1; account <= ACCOUNTS; account++) {
            double rate = TOTAL_RATE / account / weights;
            addAccount(
                    new AccountName("account-" + account),
                    new Quota(QuotaUnit.TOKENS, rate, rate * BURST_SECONDS, 1));
        }
        this.quotas = fullQuotas;
        for (int number = 0; number < scenario.instances(); number++) {
            numbers.put(id(number), number);
            instances.add(new QuotaInstance(number, this, random.split()));
        }
    }

    private void addAccount(AccountName name, Quota quota) {
        fullQuotas.put(name, quota);
        windows.put(name, new QuotaWindow());
        reducedWindows.put(name, new QuotaWindow());
        used.put(name, new QuotaBucket(quota, 1));
        global.put(name, new QuotaBucket(quota, 1));
        QuotaBucket[] parts = new QuotaBucket[scenario.instances()];
        for (int number = 0; number < parts.length; number++) {
            parts[number] = new QuotaBucket(quota, 1.0 / parts.length);
        }
        equal.put(name, parts);
    }

    VirtualTime time() {
        return time;
    }

    Instant now() {
        return time.now();
    }

    QuotaNetwork network() {
        return network;
    }

    InstanceId id(int number) {
        return new InstanceId(String.format("entry-%03d", number));
    }

    int number(InstanceId id) {
        return numbers.get(id);
    }

    QuotaInstance instance(int number) {
        return instances.get(number);
    }

    boolean mayHold(int number) {
        return number < HOLDERS;
    }

    List<Integer> holders() {
        List<Integer> holders = new ArrayList<>();
        for (int number = 0; number < Math.min(HOLDERS, instances.size()); number++) {
            holders.add(number);
        }
        return holders;
    }

    /** Returns the instances whose leases have not passed to others since they ended. */
    Set<Integer> leaseHolders() {
        Set<Integer> leases = new HashSet<>();
        for (int holder : holders()) {
            if (instance(holder).isAlive()) {
                lastAlive.put(holder, now());
            }
            Instant last = lastAlive.get(holder);
            if (last != null && now().isBefore(last.plus(LEASE_TIME))) {
                leases.add(holder);
            }
        }
        return leases;
    }

    /** Runs the scenario and returns its results after the warm-up; the limit is checked always. */
    QuotaResult run() {
        instances.forEach(each -> each.start(quotas, tolerance));
        fullQuotas.forEach((name, quota) -> scheduleArrival(name));
        scheduleFaults();
        time.runUntil(Instant.EPOCH.plus(WARM_UP).plus(scenario.length()));
        double bytesPerInstance =
                (double) bytes / Math.max(1, instances.size() - 1) / scenario.length().toSeconds();
        return new QuotaResult(
                requests,
                admitted / totalCost,
                refusedWithin,
                largestUse(),
                waited,
                bytesPerInstance,
                globalAdmitted / totalCost,
                equalAdmitted / totalCost);
    }

    private double largestUse() {
        double largest = 0;
        for (Map.Entry<AccountName, Quota> each : fullQuotas.entrySet()) {
            QuotaWindow all = windows.get(each.getKey());
            largest = Math.max(largest, all.largestUse(each.getValue(), tolerance));
            QuotaWindow late = reducedWindows.get(each.getKey());
            largest = Math.max(largest, late.largestUse(reduced(each.getValue()), tolerance));
        }
        return largest;
    }

    private static Quota reduced(Quota quota) {
        return new Quota(
                quota.unit(),
                quota.ratePerSecond() * REDUCTION,
                quota.burst() * REDUCTION,
                quota.defaultCost());
    }

    private boolean isMeasured() {
        return now().isAfter(Instant.EPOCH.plus(WARM_UP));
    }

    private void scheduleArrival(AccountName account) {
        double perSecond =
                fullQuotas.get(account).ratePerSecond()
                        * scenario.use()
                        * (isBursty() ? 2 : 1)
                        / (MIN_COST + MEAN_ADDITIONAL_COST);
        time.afterMillis(
                exponential() * 1000 / perSecond,
                () -> {
                    arrive(account);
                    scheduleArrival(account);
                });
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private boolean isBursty() {
        return scenario.arrivals() == QuotaScenario.Arrivals.BURSTS;
    }

    private boolean isBetweenBursts() {
        return isBursty() && now().getEpochSecond() / BURST_LENGTH_SECONDS % 2 == 0;
    }

    private void arrive(AccountName account) {
        if (isBetweenBursts()) {
            return;
        }
        long cost = (long) (MIN_COST + MEAN_ADDITIONAL_COST * exponential());
        int number = chooseInstance(account);
        if (!instance(number).isAlive()) {
            number = firstAliveAfter(number);
        }
        if (isMeasured()) {
            requests++;
            totalCost += cost;
            globalAdmitted += global.get(account).take(cost, now()) ? cost : 0;
            equalAdmitted += equal.get(account)[number].take(cost, now()) ? cost : 0;
        }
        instance(number).onRequest(new QuotaRequest(account, cost, now()));
    }

    private int chooseInstance(AccountName account) {
        boolean even = scenario.arrivals() == QuotaScenario.Arrivals.EVEN;
        if (even || isBursty() || random.nextBoolean()) {
            return random.nextInt(instances.size());
        }
        boolean moving = scenario.arrivals() == QuotaScenario.Arrivals.MOVING;
        long place = moving ? now().toEpochMilli() / MOVE_PERIOD.toMillis() : 0;
        return Math.floorMod(account.hashCode() + (int) place * 7, instances.size());
    }

    private int firstAliveAfter(int number) {
        int each = number;
        for (int step = 0; step < instances.size(); step++) {
            each = (each + 1) % instances.size();
            if (instance(each).isAlive()) {
                return each;
            }
        }
        return number;
    }

    /** Records what became of a request. */
    void onDecided(QuotaInstance instance, QuotaRequest request, TakeResult result) {
        QuotaBucket bucket = used.get(request.account());
        if (!(result instanceof TakeResult.Taken taken)) {
            if (isMeasured() && bucket.hasRoom(request.cost(), now())) {
                refusedWithin++;
            }
            return;
        }
        admitted += isMeasured() ? request.cost() : 0;
        bucket.charge(request.cost(), now());
        QuotaWindow.Entry entry =
                windows.get(request.account()).add(request.arrivedAt(), request.cost());
        request.setEntry(entry);
        if (reducedEverywhereAt != null && request.arrivedAt().isAfter(reducedEverywhereAt)) {
            reducedWindows.get(request.account()).add(request.arrivedAt(), request.cost());
        } else if (scenario.faults() == QuotaScenario.Faults.ALL
                && random.nextDouble() < NOT_RUN_SHARE) {
            int process = instance.run();
            time.afterMillis(
                    random.nextDouble() * 2000, () -> instance.giveBack(request, taken, process));
        }
    }

    void countWaited() {
        waited += isMeasured() ? 1 : 0;
    }

    /** Counts what a request for allowance or its answer adds to a report or a notice. */
    void countBytes(int one, int other, PeerMessage with, PeerMessage without) {
        if (isMeasured() && one != other) {
            bytes += codec.encode(with).length - codec.encode(without).length;
        }
    }

    /** Counts a message of its own. */
    void countCall(int one, int other, PeerMessage message) {
        if (isMeasured() && one != other) {
            bytes += codec.encode(message).length + FRAME_PREFIX_BYTES;
        }
    }

    private void scheduleFaults() {
        switch (scenario.faults()) {
            case RESTART -> time.after(WARM_UP.plusSeconds(10), this::restartFifth);
            case PLANNER_LOST -> time.after(WARM_UP.plusSeconds(6), this::losePlanner);
            case PARTITION -> {
                time.after(WARM_UP, () -> divide(0.5));
                time.after(scenario.length(), this::heal);
            }
            case ALL -> {
                scheduleRandomFault();
                time.after(WARM_UP.plus(scenario.length().dividedBy(2)), this::reduceQuotas);
            }
            default -> {
                // Nothing happens.
            }
        }
    }

    private void restartFifth() {
        int first = random.nextInt(5);
        for (int number = first; number < instances.size(); number += 5) {
            restart(number, 2000);
        }
    }

    private void restart(int number, double millis) {
        if (instance(number).isAlive()) {
            lastAlive.put(number, now());
            instance(number).end();
            time.afterMillis(millis, () -> instance(number).start(quotas, tolerance));
        }
    }

    private void losePlanner() {
        for (int holder : holders()) {
            if (instance(holder).isPlanning()) {
                restart(holder, 4000);
            }
        }
        time.after(Duration.ofSeconds(12), this::losePlanner);
    }

    private void divide(double part) {
        for (int number = 0; number < instances.size(); number++) {
            network.setSide(number, random.nextDouble() < part ? 1 : 0);
        }
    }

    private void heal() {
        for (int number = 0; number < instances.size(); number++) {
            network.setSide(number, 0);
        }
    }

    private void scheduleRandomFault() {
        time.afterMillis(
                500 + random.nextDouble() * 3000,
                () -> {
                    startRandomFault();
                    scheduleRandomFault();
                });
    }

    private void startRandomFault() {
        int number =
                random.nextBoolean()
                        ? random.nextInt(instances.size())
                        : random.nextInt(Math.min(HOLDERS, instances.size()));
        switch (random.nextInt(6)) {
            case 0 -> restart(number, random.nextDouble() * 4000);
            case 1 -> restartFifth();
            case 2 -> divide(random.nextDouble());
            case 3 -> heal();
            default -> pause(number, random.nextDouble() * 6000);
        }
    }

    private void pause(int number, double millis) {
        QuotaInstance instance = instance(number);
        if (instance.isServing()) {
            int process = instance.run();
            instance.pause();
            time.afterMillis(
                    millis,
                    () -> {
                        if (instance.isAlive() && instance.run() == process) {
                            instance.resume();
                        }
                    });
        }
    }

    private void reduceQuotas() {
        Map<AccountName, Quota> smaller = new LinkedHashMap<>();
        fullQuotas.forEach((name, quota) -> smaller.put(name, reduced(quota)));
        quotas = smaller;
        reducedEverywhereAt = now().plus(APPLY_TIME);
        for (QuotaInstance instance : instances) {
            int process = instance.run();
            time.afterMillis(
                    random.nextDouble() * APPLY_TIME.toMillis(),
                    () -> instance.installLater(process, smaller));
        }
    }
}
