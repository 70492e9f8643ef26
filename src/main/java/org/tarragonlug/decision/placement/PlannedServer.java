package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;

/**
 * What the planner believes of one server: the models it holds, the order it carries out and the
 * number of orders it has accepted.
 *
 * <p>A listing may be older than the last order. So what was ordered to be loaded counts as held
 * until it is ordered to be dropped, whether a listing shows it or not, and what a listing shows
 * counts as held as well. Memory is thus never counted too low; it is counted too high for the time
 * that a listing lags. The number of accepted orders is known from reports and own orders alone.
 */
final class PlannedServer {
    /** A dropped adapter that a late listing still shows does not count for this long. */
    private static final Duration UNLOAD_VALIDITY = Duration.ofSeconds(4);

    private ServerListing listing;
    private Map<String, Set<String>> models;
    private long orderCount;
    private final Set<String> loadedModels = new HashSet<>();
    private final Set<ModelKey> loadedAdapters = new HashSet<>();
    private final Map<String, Instant> loadedAt = new HashMap<>();
    private final Map<ModelKey, Instant> unloadedAt = new HashMap<>();
    private final Map<ModelKey, Instant> adapterUsedAt = new HashMap<>();

    /** The order in progress, if any. */
    PlannedOrder order;

    /** The model for which room is being made. */
    String reservedFor;

    /** Whether the state must be asked for before the next order. */
    boolean needsReport = true;

    /** Whether orders reach it at present. */
    boolean orderable;

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
        return listing.state() == ListedState.READY;
    }

    /** Tells whether a new order may be given to it. */
    boolean canTakeOrder() {
        return ready() && orderable && order == null && !needsReport;
    }

    /** Takes a listing. */
    void update(ServerListing newer, Instant now) {
        boolean restarted = newer.startedMillis() != listing.startedMillis();
        listing = newer;
        if (restarted) {
            order = null;
            reservedFor = null;
            needsReport = true;
            orderCount = 0;
            loadedModels.clear();
            loadedAdapters.clear();
            unloadedAt.clear();
        }
        applyModels(newer.models(), now);
    }

    /** Takes a report, which is newer than all orders that it counts. */
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
        applyModels(report.models(), now);
        return true;
    }

    private void applyModels(Map<String, Set<String>> reported, Instant now) {
        unloadedAt.values().removeIf(at -> now.isAfter(at.plus(UNLOAD_VALIDITY)));
        models = copy(reported);
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

    /** Tells whether the newest statement of the server itself shows a model. */
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

    /** A model has been loaded. */
    void onModelLoaded(String model, Instant now) {
        loadedModels.add(model);
        loadedAt.put(model, now);
        models.computeIfAbsent(model, name -> new HashSet<>());
    }

    /** Returns when a model was loaded by an order, if that is known. */
    Instant loadedAt(String model) {
        return loadedAt.getOrDefault(model, Instant.EPOCH);
    }

    /** A model has been dropped. */
    void onModelUnloaded(String model) {
        loadedModels.remove(model);
        loadedAdapters.removeIf(key -> key.model().equals(model));
        models.remove(model);
    }

    /** An adapter was ordered; it takes its place from now on. */
    void onAdapterOrdered(ModelKey key, Instant now) {
        loadedAdapters.add(key);
        unloadedAt.remove(key);
        adapterUsedAt.put(key, now);
    }

    /** An adapter has been loaded. */
    void onAdapterLoaded(ModelKey key, Instant now) {
        onAdapterOrdered(key, now);
        Set<String> adapters = models.get(key.model());
        if (adapters != null) {
            adapters.add(key.adapter());
        }
    }

    void onAdapterUnloaded(ModelKey key, Instant now) {
        loadedAdapters.remove(key);
        unloadedAt.put(key, now);
        Set<String> adapters = models.get(key.model());
        if (adapters != null) {
            adapters.remove(key.adapter());
        }
    }

    void onAdapterUsed(ModelKey key, Instant now) {
        if (holds(key)) {
            adapterUsedAt.put(key, now);
        }
    }

    /** Returns all adapters that are held or on their way. */
    Set<ModelKey> adapters() {
        Set<ModelKey> all = new HashSet<>();
        models.forEach(
                (model, adapters) ->
                        adapters.forEach(adapter -> all.add(new ModelKey(model, adapter))));
        loadedAdapters.stream().filter(key -> models.containsKey(key.model())).forEach(all::add);
        return all;
    }

    /** Returns the adapter that was not used for longest. */
    Optional<ModelKey> leastRecentlyUsedAdapter(Instant unusedSince) {
        ModelKey leastRecent = null;
        Instant oldestUse = unusedSince;
        for (ModelKey key : adapters()) {
            Instant usedAt = adapterUsedAt.getOrDefault(key, Instant.EPOCH);
            if (usedAt.isBefore(oldestUse)) {
                oldestUse = usedAt;
                leastRecent = key;
            }
        }
        return Optional.ofNullable(leastRecent);
    }

    /** Returns the memory in use or reserved, megabytes. */
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
