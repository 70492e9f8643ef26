package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.forwarding.ServerPace;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;

/**
 * The planner's view of one server: the models that the server holds, the order in progress and the
 * number of orders that the server has accepted.
 *
 * <p>A listing may be older than the last order. Therefore a model or adapter counts as held from
 * the order to load it until the order to unload it, whether or not a listing shows it. A model in
 * a listing counts as held as well. As a result, the used memory is never estimated too low, but it
 * is estimated too high while listings lag behind. The number of accepted orders is derived only
 * from reports and from this planner's own orders.
 *
 * <p>A report reflects all orders that it counts, so it decides over what is remembered of them. A
 * listing that was read soon after a report may be older and only adds to it. What is remembered
 * holds for one turn of planning, because in between another planner may give orders.
 */
final class PlannedServer {
    /** How long listings may be older than a report, or than the end of an order. */
    private static final Duration LISTING_DELAY = Duration.ofSeconds(4);

    private ServerListing listing;
    private Map<String, Set<String>> models;
    private long orderCount;
    private final Set<String> loadedModels = new HashSet<>();
    private final Set<ModelKey> loadedAdapters = new HashSet<>();
    private final Map<String, Instant> loadedAt = new HashMap<>();

    /** Adapters that the server will unload when no request uses them any more. */
    private final Set<ModelKey> unloading = new HashSet<>();

    /** Adapters that have been unloaded, which late listings still show. */
    private final Map<ModelKey, Instant> unloadedAt = new HashMap<>();

    /** What the last report of this turn showed, less what has been unloaded since. */
    private Map<String, Set<String>> reported = new HashMap<>();

    private Instant reportedAt = Instant.EPOCH;
    private final Map<ModelKey, Instant> adapterUsedAt = new HashMap<>();

    /** The order in progress; null if there is none. */
    PlannedOrder order;

    /** The model that this server is loading or making room for; null if there is none. */
    String reservedFor;

    /** Whether a report of the server's state is needed before the next order. */
    boolean needsReport = true;

    /** Whether the server can receive orders at present. */
    boolean orderable;

    /** Whether instances fail to reach this server, so that it is probably lost. */
    boolean suspected;

    /** How long work takes on this server, as a multiple of the usual time. */
    private double pace = 1;

    Instant nextReportAt = Instant.EPOCH;

    PlannedServer(ServerListing listing) {
        this.listing = listing;
        this.models = copy(listing.models());
    }

    ServerListing listing() {
        return listing;
    }

    ServerId id() {
        return listing.id();
    }

    long startedMillis() {
        return listing.startedMillis();
    }

    long orderCount() {
        return orderCount;
    }

    Map<String, Set<String>> models() {
        return models;
    }

    boolean ready() {
        return listing.state() == ListedState.READY && !suspected;
    }

    /** Sets the pace in percent of the usual time; null for the usual pace. */
    void setPace(Integer percent) {
        pace = percent == null ? 1 : percent / (double) ReportedLoad.USUAL_PACE;
    }

    /** Tells whether work takes so long here that requests are noticeably late. */
    boolean isSlow() {
        return pace >= ServerPace.SLOW_PACE;
    }

    /**
     * Returns the requests that this server processes in the time in which a usual slot does one.
     */
    double carriedSlots() {
        return Math.max(1, listing.slots()) / pace;
    }

    /** Tells whether a new order may be given to this server. */
    boolean canTakeOrder() {
        return ready() && orderable && order == null && !needsReport;
    }

    /** Tells whether this server makes room for a model that it has no copy of. */
    boolean isReservedForRemoteLoad() {
        return reservedFor != null
                && !isLoading(reservedFor)
                && tier(reservedFor) == CopyTier.REMOTE;
    }

    /** Begins a turn of planning, in which nothing is known yet of the orders of others. */
    void beginTurn(Instant now) {
        order = null;
        reservedFor = null;
        orderable = false;
        needsReport = true;
        nextReportAt = now;
        forgetContent();
        models = copy(listing.models());
    }

    private void forgetContent() {
        loadedModels.clear();
        loadedAdapters.clear();
        unloading.clear();
        unloadedAt.clear();
        reported = new HashMap<>();
    }

    /** Applies a new listing; resets the state if the server has restarted. */
    void update(ServerListing newer, Instant now) {
        boolean restarted = newer.startedMillis() != listing.startedMillis();
        listing = newer;
        if (restarted) {
            order = null;
            reservedFor = null;
            needsReport = true;
            orderCount = 0;
            forgetContent();
        }
        models = copy(newer.models());
        if (now.isBefore(reportedAt.plus(LISTING_DELAY))) {
            reported.forEach(this::addAdapters);
        }
        applyOwnOrders(now);
    }

    private void addAdapters(String model, Set<String> adapters) {
        models.computeIfAbsent(model, name -> new HashSet<>()).addAll(adapters);
    }

    /**
     * Applies a report, which reflects all orders that it counts. Returns false and ignores the
     * report if it counts fewer orders than are known to be accepted.
     */
    boolean applyReport(ServerReport report, Instant now) {
        if (report.orderCount() < orderCount) {
            return false;
        }
        if (order != null && !order.accepted() && report.orderCount() > order.precondition()) {
            order = order.asAccepted(order.expectedEnd());
        }
        orderCount = report.orderCount();
        loadedModels.retainAll(report.models().keySet());
        loadedAdapters.removeIf(key -> !report.models().containsKey(key.model()));
        unloadedAt.keySet().removeIf(report::shows);
        List<ModelKey> unloaded = unloading.stream().filter(key -> !report.shows(key)).toList();
        unloaded.forEach(key -> onAdapterUnloaded(key, now));
        reported = copy(report.models());
        reportedAt = now;
        models = copy(report.models());
        applyOwnOrders(now);
        return true;
    }

    /** Corrects the models by what this planner's own orders have done. */
    private void applyOwnOrders(Instant now) {
        unloadedAt.values().removeIf(at -> now.isAfter(at.plus(LISTING_DELAY)));
        for (String model : loadedModels) {
            models.computeIfAbsent(model, name -> new HashSet<>());
        }
        for (ModelKey key : loadedAdapters) {
            Set<String> adapters = models.get(key.model());
            if (adapters != null) {
                adapters.add(key.adapter());
            }
        }
        for (ModelKey key : unloadedAt.keySet()) {
            Set<String> adapters = models.get(key.model());
            if (adapters != null) {
                adapters.remove(key.adapter());
            }
        }
    }

    /** Tells whether the newest listing of the server shows a model. */
    boolean isListedWith(String model) {
        return listing.models().containsKey(model);
    }

    void onOrderAccepted(Instant expectedEnd) {
        orderCount = Math.max(orderCount, order.precondition() + 1);
        order = order.asAccepted(expectedEnd);
    }

    boolean holds(String model) {
        return models.containsKey(model)
                && !(order != null
                        && order.action() == OrderAction.UNLOAD
                        && !order.key().hasAdapter()
                        && order.key().model().equals(model));
    }

    boolean holds(ModelKey key) {
        return holds(key.model())
                && !unloading.contains(key)
                && (!key.hasAdapter() || models.get(key.model()).contains(key.adapter()));
    }

    boolean isLoading(String model) {
        return order != null
                && order.action() == OrderAction.LOAD
                && order.key().model().equals(model)
                && !order.key().hasAdapter();
    }

    boolean isLoadingAdapter(ModelKey key) {
        return order != null && order.action() == OrderAction.LOAD && order.key().equals(key);
    }

    CopyTier tier(String model) {
        if (listing.inMemory().contains(model)) {
            return CopyTier.MEMORY;
        }
        return listing.onDisk().contains(model) ? CopyTier.DISK : CopyTier.REMOTE;
    }

    /** Records that a model has been loaded. */
    void onModelLoaded(String model, Instant now) {
        loadedModels.add(model);
        loadedAt.put(model, now);
        models.computeIfAbsent(model, name -> new HashSet<>());
    }

    /** Returns when an order last loaded a model; {@link Instant#EPOCH} if that is unknown. */
    Instant loadedAt(String model) {
        return loadedAt.getOrDefault(model, Instant.EPOCH);
    }

    /** Records that a model and all its adapters have been unloaded. */
    void onModelUnloaded(String model) {
        loadedModels.remove(model);
        loadedAdapters.removeIf(key -> key.model().equals(model));
        unloading.removeIf(key -> key.model().equals(model));
        models.remove(model);
        reported.remove(model);
    }

    /** Records an order to load an adapter, which occupies a slot and memory from now on. */
    void onAdapterOrdered(ModelKey key, Instant now) {
        loadedAdapters.add(key);
        unloading.remove(key);
        unloadedAt.remove(key);
        adapterUsedAt.put(key, now);
    }

    /** Records that an adapter has been loaded. */
    void onAdapterLoaded(ModelKey key, Instant now) {
        onAdapterOrdered(key, now);
        Set<String> adapters = models.get(key.model());
        if (adapters != null) {
            adapters.add(key.adapter());
        }
    }

    /**
     * Records that the server will unload an adapter. The adapter serves no new requests, but keeps
     * its place until a report no longer shows it.
     */
    void onAdapterUnloading(ModelKey key) {
        unloading.add(key);
    }

    /** Tells whether an adapter keeps its place only until its requests have ended. */
    boolean isUnloadingAdapter() {
        return !unloading.isEmpty();
    }

    /** Applies an answer that tells that an order to unload an adapter has taken effect. */
    void onUnloadAnsweredAsDone(PlannedOrder unload, Instant now) {
        orderCount = Math.max(orderCount, unload.precondition() + 1);
        onAdapterUnloaded(unload.key(), now);
    }

    /** Records that an adapter has been unloaded. */
    void onAdapterUnloaded(ModelKey key, Instant now) {
        unloading.remove(key);
        loadedAdapters.remove(key);
        unloadedAt.put(key, now);
        models.getOrDefault(key.model(), new HashSet<>()).remove(key.adapter());
        reported.getOrDefault(key.model(), new HashSet<>()).remove(key.adapter());
    }

    void onAdapterUsed(ModelKey key, Instant now) {
        if (holds(key)) {
            adapterUsedAt.put(key, now);
        }
    }

    /** Returns all adapters that are loaded, being loaded or being unloaded. */
    Set<ModelKey> adapters() {
        Set<ModelKey> all = new HashSet<>();
        models.forEach(
                (model, adapters) ->
                        adapters.forEach(adapter -> all.add(new ModelKey(model, adapter))));
        loadedAdapters.stream().filter(key -> models.containsKey(key.model())).forEach(all::add);
        return all;
    }

    private Set<ModelKey> unloadableAdapters() {
        Set<ModelKey> unloadable = adapters();
        unloadable.removeAll(unloading);
        return unloadable;
    }

    /**
     * Returns the adapter that has been unused for the longest time; empty if all adapters were
     * used at or after the given time.
     */
    Optional<ModelKey> leastRecentlyUsedAdapter(Instant unusedSince) {
        ModelKey leastRecent = null;
        Instant oldestUse = unusedSince;
        for (ModelKey key : unloadableAdapters()) {
            Instant usedAt = adapterUsedAt.getOrDefault(key, Instant.EPOCH);
            if (usedAt.isBefore(oldestUse)) {
                oldestUse = usedAt;
                leastRecent = key;
            }
        }
        return Optional.ofNullable(leastRecent);
    }

    /**
     * Returns when the adapter that has been unused for the longest time was last used; {@link
     * Instant#MAX} if the server has no adapter that could be unloaded.
     */
    Instant oldestAdapterUse() {
        Instant oldest = Instant.MAX;
        for (ModelKey key : unloadableAdapters()) {
            Instant usedAt = adapterUsedAt.getOrDefault(key, Instant.EPOCH);
            oldest = usedAt.isBefore(oldest) ? usedAt : oldest;
        }
        return oldest;
    }

    /** Returns the memory in use or reserved on this server, in megabytes. */
    double usedMegabytes(ModelCatalog catalog) {
        double megabytes = 0;
        for (String model : models.keySet()) {
            megabytes += catalog.model(model).map(ModelSpecification::weightsMegabytes).orElse(0.0);
        }
        for (ModelKey key : adapters()) {
            megabytes +=
                    catalog.model(key.model())
                            .map(ModelSpecification::adapterMegabytes)
                            .orElse(0.0);
        }
        if (order != null
                && order.action() == OrderAction.LOAD
                && !order.key().hasAdapter()
                && !models.containsKey(order.key().model())) {
            megabytes +=
                    catalog.model(order.key().model())
                            .map(ModelSpecification::weightsMegabytes)
                            .orElse(0.0);
        }
        return megabytes;
    }

    private static Map<String, Set<String>> copy(Map<String, Set<String>> models) {
        Map<String, Set<String>> copy = new HashMap<>();
        models.forEach((model, adapters) -> copy.put(model, new HashSet<>(adapters)));
        return copy;
    }
}
