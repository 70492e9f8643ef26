package org.tarragonlug.soak;

import io.servicetalk.transport.api.IoExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.tarragonlug.gateway.GatewaySettings;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.standin.PlatformStoreStandIn;
import org.tarragonlug.trial.GatewayTrial;

/**
 * Runs gateways as processes on loopback under random faults, with stand-ins of the store and the
 * servers in this process, and checks what servers and callers see.
 */
public final class Soak {
    private static final int IO_THREADS = 2;
    private static final int TIMER_THREADS = 4;
    private static final int STORE_PAGE_SIZE = 500;

    /** Processes that start at the same time; more delay each other beyond their time to start. */
    private static final int GATEWAYS_OF_A_START = 4;

    private static final long FIRST_ERA = 1;
    private static final long STEP_MILLIS = 20;
    private static final long SECOND_MILLIS = 1000;

    /** Findings of a check that are printed with their histories; the summary counts all. */
    private static final int MOST_PRINTED = 50;

    private static final long RECOVERY_MILLIS = 15_000;

    private record Running(PlannedFault fault, SoakFaultKind.Context context) {}

    private final SoakSettings settings;
    private final SoakShape shape;
    private final Consumer<String> output;
    private final SoakChecker checker;
    private final ServerCounts counts = new ServerCounts();
    private final SoakTally tally = new SoakTally();
    private final List<SoakGateway> gateways = new ArrayList<>();
    private final PriorityQueue<Running> running =
            new PriorityQueue<>(Comparator.comparingLong(each -> each.fault().endMillis()));
    private PlatformStoreStandIn store;
    private ConfigurationChanges configuration;
    private ServerEntries entries;
    private StoreRestores restores;
    private SoakFleet fleet;
    private long startMillis;
    private long nextLineMillis;

    /** How much longer than asked a sleep took; large on a machine that is too busy. */
    private long longestDelayMillis;

    /**
     * Creates a soak.
     *
     * @param settings its settings
     * @param output receives lines of key=value while it runs, then findings and a summary
     */
    public Soak(SoakSettings settings, Consumer<String> output) {
        this.settings = settings;
        this.shape = settings.shape();
        this.checker = new SoakChecker(shape.pressure().drainSeconds() * SECOND_MILLIS);
        this.output = output;
    }

    /**
     * Runs the soak and ends all its processes.
     *
     * @return whether all checks held
     * @throws IOException if a process or a stand-in can't be started
     */
    public boolean run() throws IOException, InterruptedException {
        IoExecutor ioExecutor = IoThreads.create(IO_THREADS);
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
        store = new PlatformStoreStandIn(ioExecutor, STORE_PAGE_SIZE);
        try {
            StoreWriter writer = new StoreWriter(store);
            configuration = new ConfigurationChanges(shape, writer, checker);
            entries = new ServerEntries(writer, checker);
            fleet = new SoakFleet(settings.seed(), shape, entries, checker, counts, timers);
            restores = new StoreRestores(store, writer, configuration, fleet, checker, timers);
            if (shape.faults().restoresStore()) {
                store.stateEra(FIRST_ERA);
            }
            startGateways();
            runFaults();
            print();
            return checker.findings().isEmpty();
        } finally {
            for (SoakGateway gateway : gateways) {
                gateway.close();
            }
            if (fleet != null) {
                fleet.close();
            }
            timers.shutdownNow();
            store.close();
            ioExecutor.closeAsync().subscribe();
        }
    }

    private void startGateways() throws IOException, InterruptedException {
        for (int number = 0; number < shape.gateways(); number++) {
            FailureDomain domain = new FailureDomain(shape.failureDomain(number));
            Duration drainTime = Duration.ofSeconds(shape.pressure().drainSeconds());
            GatewaySettings each =
                    GatewayTrial.settings(
                            storeAddress(number), "gateway-" + number, domain, drainTime);
            Random random = random("gateway " + number);
            gateways.add(new SoakGateway(number, settings, each, checker, random));
            if (gateways.size() % GATEWAYS_OF_A_START == 0) {
                awaitReady();
            }
        }
        awaitReady();
    }

    /** Every second gateway uses the address at which the store can reject calls, if it does. */
    private InetSocketAddress storeAddress(int gateway) {
        boolean rejectable = shape.faults().restoresStore() && gateway % 2 == 1;
        return rejectable ? store.rejectableAddress() : store.address();
    }

    private void awaitReady() throws IOException, InterruptedException {
        int last = gateways.size();
        for (SoakGateway started :
                gateways.subList(Math.max(0, last - GATEWAYS_OF_A_START), last)) {
            started.awaitReady();
        }
    }

    private Random random(String part) {
        return SoakRandom.of(settings.seed(), part);
    }

    private void runFaults() throws IOException, InterruptedException {
        startMillis = SoakClock.millis();
        CallerThreads callers = new CallerThreads();
        for (int number = 0; number < shape.callers().callers(); number++) {
            callers.start(caller("c" + number, gateways, shape, shape.key(number))::work);
        }
        long length = settings.seconds() * SECOND_MILLIS;
        List<PlannedFault> planned =
                new SoakSchedule(settings.seed(), length, shape.gateways(), shape.faults())
                        .faults();
        for (PlannedFault fault : planned) {
            advanceUntil(fault.startMillis());
            start(fault);
        }
        advanceUntil(length);
        fleet.setSound();
        gateways.forEach(SoakGateway::keepNext);
        recover();
        callers.stop();
        checker.finish(SoakClock.millis());
    }

    private SoakCaller caller(
            String name, List<SoakGateway> reachable, SoakShape used, Optional<String> key) {
        return new SoakCaller(
                name, reachable, used, key, configuration, checker, tally, random(name));
    }

    /** Ends faults when they are due and replaces processes, until some time after the start. */
    private void advanceUntil(long millis) throws IOException, InterruptedException {
        while (elapsedMillis() < millis) {
            while (!running.isEmpty() && running.peek().fault().endMillis() <= elapsedMillis()) {
                end(running.poll());
            }
            if (shape.faults().restoresStore()) {
                long now = SoakClock.millis();
                restores.keepCopy(now);
                entries.step(now);
            }
            for (SoakGateway gateway : gateways) {
                gateway.keepRunning();
            }
            if (elapsedMillis() >= nextLineMillis) {
                nextLineMillis += SECOND_MILLIS;
                output.accept("second=" + elapsedMillis() / SECOND_MILLIS + " " + line());
            }
            sleepOneStep();
        }
    }

    private void sleepOneStep() throws InterruptedException {
        long begin = SoakClock.millis();
        Thread.sleep(STEP_MILLIS);
        long late = SoakClock.millis() - begin - STEP_MILLIS;
        longestDelayMillis = Math.max(longestDelayMillis, late);
    }

    private long elapsedMillis() {
        return SoakClock.millis() - startMillis;
    }

    private void start(PlannedFault fault) {
        SoakFaultKind.Context context =
                new SoakFaultKind.Context(
                        fleet,
                        gateways.get(fault.gateway()),
                        store,
                        configuration,
                        restores,
                        new Random(fault.seed()),
                        fault.endMillis() - fault.startMillis());
        noteStore(fault.kind(), true);
        fault.kind().start(context);
        running.add(new Running(fault, context));
    }

    private void end(Running ended) {
        SoakFaultKind kind = ended.fault().kind();
        kind.end(ended.context());
        noteStore(kind, false);
    }

    private void noteStore(SoakFaultKind kind, boolean begins) {
        if (kind.target().impairsStore()) {
            checker.onStoreImpaired(begins, kind.hindersCalls(), SoakClock.millis());
        }
    }

    /** Checks that all gateways serve all kinds of requests again. */
    private void recover() throws IOException, InterruptedException {
        while (!running.isEmpty()) {
            end(running.poll());
        }
        restores.setSound();
        CallerThreads probes = new CallerThreads();
        List<RecoveryProbe> recoveries = new ArrayList<>();
        for (SoakGateway gateway : gateways) {
            SoakCaller caller =
                    caller(
                            "r" + gateway.number(),
                            List.of(gateway),
                            shape.forRecovery(),
                            shape.unlimitedKey());
            RecoveryProbe recovery = new RecoveryProbe(caller, shape.callers().requests().keySet());
            recoveries.add(recovery);
            probes.start(recovery::step);
        }
        long begin = elapsedMillis();
        long end = begin + RECOVERY_MILLIS;
        while (elapsedMillis() < end && !recoveries.stream().allMatch(RecoveryProbe::isDone)) {
            advanceUntil(elapsedMillis() + STEP_MILLIS);
        }
        output.accept("recovery_ms=" + (elapsedMillis() - begin));
        for (int number = 0; number < recoveries.size(); number++) {
            if (!recoveries.get(number).isDone()) {
                String text = "gateway " + number + " does not serve ";
                checker.report(
                        Check.RECOVERY,
                        Finding.NO_REQUEST,
                        text + recoveries.get(number).unserved() + gateways.get(number).problems());
            }
        }
        probes.stop();
    }

    private String line() {
        int processes = gateways.stream().mapToInt(SoakGateway::processCount).sum();
        return tally.line()
                + " "
                + counts.line()
                + " gateway_starts="
                + processes
                + " longest_delay_ms="
                + longestDelayMillis
                + " "
                + restores.line()
                + " "
                + checker.line();
    }

    /** Prints when gateways stood still, which may explain requests that ended late. */
    private void printPauses() throws IOException {
        for (SoakGateway gateway : gateways) {
            gateway.logLines("event=process_paused ").forEach(output);
        }
    }

    private void print() throws IOException {
        for (Check check : Check.values()) {
            List<Finding> found =
                    checker.findings().stream().filter(each -> each.check() == check).toList();
            print(found.subList(0, Math.min(found.size(), MOST_PRINTED)));
        }
        if (!checker.findings().isEmpty()) {
            printPauses();
        }
        output.accept("summary seed=" + settings.seed() + " " + line());
    }

    private void print(List<Finding> findings) throws IOException {
        for (Finding finding : findings) {
            output.accept(
                    "finding seed="
                            + settings.seed()
                            + " check="
                            + finding.check()
                            + " request="
                            + finding.id()
                            + " "
                            + finding.text());
            if (!finding.id().equals(Finding.NO_REQUEST)) {
                String history = checker.history(finding.id());
                output.accept("history request=" + finding.id() + " " + history);
                for (SoakGateway gateway : gateways) {
                    gateway.logLines("request=" + finding.id() + " ").forEach(output);
                }
            }
        }
    }
}
