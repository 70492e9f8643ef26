package org.tarragonlug.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.decision.placement.PlannedOrder;
import org.tarragonlug.decision.placement.ServerReport;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.PromptPartId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;
import org.tarragonlug.measure.VirtualTime;

/**
 * A model server that batches requests and carries out one order at a time.
 *
 * <p>It works in steps. In each step every running request that has read its prompt produces one
 * token, and up to {@link #CHUNK_TOKENS} tokens of prompts are read, which lengthens the step for
 * all. All models on the server share its slots. A request whose model is being unloaded, or that
 * finds the queue full, is rejected without having run.
 */
final class ModelServer {
    static final ServiceName SERVICE = new ServiceName("models");

    /** A prompt part that crashes a server when it begins to answer. */
    static final PromptPartId CRASHING_PART = new PromptPartId("crashing");

    private static final Duration CRASH_DOWN_TIME = Duration.ofSeconds(3);

    private static final double STEP_MILLIS = 5.4;
    private static final double STEP_MILLIS_PER_REQUEST = 0.012;
    private static final double TOKENS_READ_PER_MILLI = 38;
    private static final int CHUNK_TOKENS = 2048;
    private static final int TOKENS_PER_EVENT = 4;
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(8);
    private static final Duration UNLOAD_TIME = Duration.ofMillis(5);

    private final ServerId id;
    private final FailureDomain domain;
    private final FleetScenario scenario;
    private final Map<String, SimulatedModel> catalog;
    private final VirtualTime time;
    private final SharedWeightStore weightStore;
    private final Runnable onListingChanged;
    private final double speed;
    private final Map<String, Set<String>> models = new LinkedHashMap<>();
    private final ModelCopies copies;
    private final PromptCache cache;
    private final List<ServerRun> running = new ArrayList<>();
    private final List<ServerRun> waiting = new ArrayList<>();
    private long orderCount;
    private boolean busy;
    private String unloading = "";
    private boolean adaptersChanged;
    private boolean stepping;
    private boolean down;
    private long startedMillis = 1;
    private double slowness = 1;
    private boolean statesPace;
    private int violations;
    private long readTokens;
    private final List<Instant> partCrashes = new ArrayList<>();
    private final List<Instant> crashingArrivals = new ArrayList<>();

    ModelServer(
            int number,
            FleetScenario scenario,
            Map<String, SimulatedModel> catalog,
            VirtualTime time,
            SharedWeightStore weightStore,
            Runnable onListingChanged) {
        this.id = new ServerId("server-" + number);
        this.domain = new FailureDomain("domain-" + number % scenario.domains());
        this.scenario = scenario;
        this.catalog = catalog;
        this.time = time;
        this.weightStore = weightStore;
        this.onListingChanged = onListingChanged;
        this.copies = new ModelCopies(scenario, catalog);
        this.cache = new PromptCache(scenario.cacheTokens());
        this.speed = number % 3 == 2 ? 1.3 : 1.0;
    }

    ServerId id() {
        return id;
    }

    long startedMillis() {
        return startedMillis;
    }

    /** Returns the number of orders that would have crashed the server. */
    int violations() {
        return violations;
    }

    /** Returns when requests with {@link #CRASHING_PART} crashed the server. */
    List<Instant> partCrashes() {
        return partCrashes;
    }

    /** Returns when requests with {@link #CRASHING_PART} reached the server. */
    List<Instant> crashingArrivals() {
        return crashingArrivals;
    }

    long readTokens() {
        return readTokens;
    }

    /** Returns the tokens of shared parts that this server read. */
    long readPrefixTokens() {
        return cache.readTokens();
    }

    boolean holds(String model) {
        return models.containsKey(model);
    }

    /** Puts a model on the server before the start; returns whether it fits. */
    boolean preload(String model) {
        if (!fits(model) || models.containsKey(model)) {
            return false;
        }
        models.put(model, new HashSet<>());
        copies.keep(model);
        return true;
    }

    /** Puts a copy of a model on the disk before the start; returns whether it fits. */
    boolean preloadDisk(String model) {
        return copies.addOnDisk(model);
    }

    /** Makes the server state its pace with its load. */
    void statePace() {
        statesPace = true;
    }

    void setSlowness(double factor) {
        slowness = factor;
    }

    private boolean fits(String model) {
        double held = models.keySet().stream().mapToDouble(this::megabytes).sum();
        return held + megabytes(model) <= scenario.capacityMegabytes();
    }

    private double megabytes(String model) {
        return catalog.get(model).megabytes();
    }

    /** Tells whether adapters were loaded or unloaded since the last call. */
    boolean takeAdaptersChanged() {
        boolean changed = adaptersChanged;
        adaptersChanged = false;
        return changed;
    }

    ServerListing listing() {
        return new ServerListing(
                id,
                SERVICE,
                "10.0.0.1:" + (1000 + Integer.parseInt(id.value().substring(7))),
                domain,
                scenario.slots(),
                ListedState.READY,
                startedMillis,
                copyOfModels(),
                copies.inMemory(),
                copies.onDisk());
    }

    ServerReport report() {
        return new ServerReport(copyOfModels(), busy, orderCount);
    }

    private Map<String, Set<String>> copyOfModels() {
        Map<String, Set<String>> copy = new HashMap<>();
        models.forEach((name, adapters) -> copy.put(name, Set.copyOf(adapters)));
        return copy;
    }

    private ReportedLoad load() {
        int pace =
                statesPace
                        ? (int) Math.round(slowness * ReportedLoad.USUAL_PACE)
                        : ReportedLoad.USUAL_PACE;
        return new ReportedLoad(running.size(), waiting.size(), scenario.slots(), pace);
    }

    boolean isDown() {
        return down;
    }

    /** Returns whether a request could begin at once. */
    boolean hasFreeSlot() {
        return !down && waiting.isEmpty() && running.size() < scenario.slots();
    }

    /** Ends the process: all requests break off, and the server restarts empty. */
    void crash(Duration downTime) {
        down = true;
        startedMillis++;
        List<ServerRun> broken = new ArrayList<>(running);
        broken.addAll(waiting);
        running.clear();
        waiting.clear();
        broken.forEach(
                run -> {
                    run.ended = true;
                    run.listener.onBroken();
                });
        models.clear();
        cache.clear();
        copies.dropFromMemory();
        orderCount = 0;
        busy = false;
        unloading = "";
        time.after(
                downTime,
                () -> {
                    down = false;
                    onListingChanged.run();
                });
    }

    /** Ends the process as {@link #crash} does; it is listed again when it holds its models. */
    void restart(Duration downTime) {
        Map<String, Set<String>> held = copyOfModels();
        crash(downTime);
        held.forEach((model, adapters) -> models.put(model, new HashSet<>(adapters)));
    }

    // Requests

    void onRequest(ServerRun run) {
        if (down) {
            run.ended = true;
            run.listener.onRejected(Rejection.UNREACHABLE, Optional.empty());
            return;
        }
        if (isCrashing(run)) {
            crashingArrivals.add(time.now());
        }
        String model = run.key.model();
        Set<String> adapters = models.get(model);
        if (adapters == null || run.key.hasAdapter() && !adapters.contains(run.key.adapter())) {
            reject(run, Rejection.MODEL_ABSENT);
        } else if (unloading.equals(model)
                || running.size() >= scenario.slots() && waiting.size() >= scenario.queue()) {
            reject(run, Rejection.BUSY);
        } else {
            waiting.add(run);
            admit();
        }
    }

    private static boolean isCrashing(ServerRun run) {
        return run.prefix.parts().contains(CRASHING_PART);
    }

    private void reject(ServerRun run, Rejection rejection) {
        run.ended = true;
        run.listener.onRejected(rejection, Optional.of(load()));
    }

    /** Ends a run without an answer, because its caller or its instance gave up. */
    void cancel(ServerRun run) {
        if (!run.ended) {
            run.ended = true;
            running.remove(run);
            waiting.remove(run);
            finishUnload();
            admit();
        }
    }

    private void admit() {
        while (running.size() < scenario.slots() && !waiting.isEmpty()) {
            ServerRun next =
                    waiting.stream().min(Comparator.comparingInt(run -> run.urgency)).get();
            waiting.remove(next);
            next.unreadTokens += cache.read(next.prefix);
            running.add(next);
        }
        if (!stepping && !running.isEmpty()) {
            stepping = true;
            scheduleStep();
        }
    }

    private void scheduleStep() {
        int budget = CHUNK_TOKENS;
        int read = 0;
        double pace = 0;
        List<ServerRun> producing = new ArrayList<>();
        for (ServerRun run : running) {
            pace += catalog.get(run.key.model()).pace();
            int part = Math.min(budget, run.unreadTokens);
            run.unreadTokens -= part;
            budget -= part;
            read += part;
            if (run.unreadTokens == 0) {
                producing.add(run);
            }
        }
        pace /= running.size();
        readTokens += read;
        double millis =
                STEP_MILLIS * pace
                        + STEP_MILLIS_PER_REQUEST * running.size()
                        + read * pace / TOKENS_READ_PER_MILLI;
        long process = startedMillis;
        time.afterMillis(
                millis * speed * slowness,
                () -> {
                    if (process == startedMillis) {
                        endStep(producing);
                    } else {
                        stepping = false;
                    }
                });
    }

    private void endStep(List<ServerRun> producing) {
        for (ServerRun run : producing) {
            if (!run.ended) {
                produceToken(run);
            }
        }
        if (running.isEmpty()) {
            stepping = false;
        } else {
            scheduleStep();
        }
    }

    private void produceToken(ServerRun run) {
        run.producedTokens++;
        int event = run.firstEvent + (run.producedTokens - 1) / TOKENS_PER_EVENT;
        boolean beginsEvent = run.producedTokens % TOKENS_PER_EVENT == 1;
        if (run.producedTokens == 1) {
            run.listener.onStarted(load());
            if (isCrashing(run)) {
                partCrashes.add(time.now());
                crash(CRASH_DOWN_TIME);
                return;
            }
        }
        if (beginsEvent && event <= run.events) {
            run.listener.onEvent(event);
        }
        if (event > run.events) {
            run.ended = true;
            running.remove(run);
            run.listener.onCompleted(load());
            finishUnload();
            admit();
        }
    }

    // Orders

    OrderResult execute(PlannedOrder order) {
        if (down) {
            return OrderResult.UNKNOWN;
        }
        if (busy || order.precondition() != orderCount) {
            return OrderResult.CONFLICT;
        }
        if (order.key().hasAdapter()) {
            return executeAdapterOrder(order);
        }
        boolean load = order.action() == OrderAction.LOAD;
        String model = order.key().model();
        if (load == models.containsKey(model)) {
            return OrderResult.ALREADY_DONE;
        }
        orderCount++;
        busy = true;
        if (load) {
            load(model);
        } else {
            unload(model);
        }
        return OrderResult.ACCEPTED;
    }

    private OrderResult executeAdapterOrder(PlannedOrder order) {
        Set<String> adapters = models.get(order.key().model());
        if (adapters == null) {
            return OrderResult.REFUSED;
        }
        orderCount++;
        if (order.action() == OrderAction.UNLOAD) {
            adapters.remove(order.key().adapter());
            adaptersChanged = true;
            return OrderResult.ALREADY_DONE;
        }
        int held = models.values().stream().mapToInt(Set::size).sum();
        violations += held >= scenario.adapterSlots() ? 1 : 0;
        time.after(
                ADAPTER_LOAD_TIME,
                () -> {
                    adapters.add(order.key().adapter());
                    adaptersChanged = true;
                });
        return OrderResult.ACCEPTED;
    }

    private void load(String model) {
        violations += fits(model) ? 0 : 1;
        long process = startedMillis;
        Runnable completion =
                () -> {
                    if (process == startedMillis) {
                        busy = false;
                        models.put(model, new HashSet<>());
                        copies.keep(model);
                        onListingChanged.run();
                    }
                };
        Optional<Duration> localLoad = copies.loadTime(model);
        if (localLoad.isPresent()) {
            time.after(localLoad.get(), completion);
        } else {
            weightStore.start(scenario.remoteLoadTime(), completion);
        }
    }

    private void unload(String model) {
        unloading = model;
        List<ServerRun> notStarted =
                waiting.stream().filter(run -> run.key.model().equals(model)).toList();
        waiting.removeAll(notStarted);
        notStarted.forEach(run -> reject(run, Rejection.BUSY));
        finishUnload();
    }

    private void finishUnload() {
        String model = unloading;
        if (model.isEmpty() || running.stream().anyMatch(run -> run.key.model().equals(model))) {
            return;
        }
        long process = startedMillis;
        time.after(
                UNLOAD_TIME,
                () -> {
                    if (process == startedMillis && unloading.equals(model)) {
                        unloading = "";
                        busy = false;
                        models.remove(model);
                        cache.removeModel(model);
                        onListingChanged.run();
                    }
                });
    }

    /** Returns whether the server holds a model or adapter. */
    boolean isReady(ModelKey key) {
        Set<String> adapters = models.get(key.model());
        return adapters != null && (!key.hasAdapter() || adapters.contains(key.adapter()));
    }
}
