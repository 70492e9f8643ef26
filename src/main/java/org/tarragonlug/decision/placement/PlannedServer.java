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
 * <p>A listing or report counts only if it states at least as many accepted orders as are known;
 * an older one would bring back a model that was dropped since. Memory is reserved from the moment
 * an order is given until a newer statement shows its effect.
 */
final class PlannedServer {
    /** An adapter that was ordered counts as held for this long, whatever listings say. */
    private static final Duration ADAPTER_RESERVED = Duration.ofSeconds(4);

    private ServerListing listing;
    private Map<String, Set<String>> models;
    private long orderCount;
    private final Map<ModelKey, Instant> orderedAdapters = new HashMap<>();
    private final Map<ModelKey, Instant> adapterUse = new HashMap<>();

    /** The order in progress, if any. */
    PlannedOrder order;

    /** The model for which room is being made. */
    String reservedFor;

    /** Whether the state must be asked for before the next order. */
    boolean uncertain;

    Instant nextReport = Instant.EPOCH;

    PlannedServer(ServerListing listing) {
        this.listing = listing;
        this.models = copy(listing.models());
        this.orderCount = listing.orderCount();
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
    boolean free() {
        return ready() && order == null && !uncertain;
    }

    /** Takes a listing; returns whether its models are believed now. */
    boolean update(ServerListing newer) {
        boolean restarted = newer.startedMillis() != listing.startedMillis();
        listing = newer;
        if (restarted) {
            order = null;
            reservedFor = null;
            uncertain = false;
            orderedAdapters.clear();
            orderCount = newer.orderCount();
            models = copy(newer.models());
            return true;
        }
        return adopt(newer.models(), newer.orderCount());
    }

    boolean adopt(Map<String, Set<String>> stated, long statedCount) {
        if (statedCount < orderCount) {
            return false;
        }
        if (order != null && !order.accepted() && statedCount > order.precondition()) {
            order = order.acceptedUntil(order.expectedEnd());
        }
        orderCount = statedCount;
        models = copy(stated);
        return true;
    }

    void accepted(Instant expectedEnd) {
        orderCount = Math.max(orderCount, order.precondition() + 1);
        order = order.acceptedUntil(expectedEnd);
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

    boolean loading(String model) {
        return order != null
                && order.action() == OrderAction.LOAD
                && order.key().model().equals(model)
                && !order.key().hasAdapter();
    }

    boolean loadingAdapter(ModelKey key) {
        return order != null && order.action() == OrderAction.LOAD && order.key().equals(key);
    }

    CopyTier tier(String model) {
        if (listing.inMemory().contains(model)) {
            return CopyTier.MEMORY;
        }
        return listing.onDisk().contains(model) ? CopyTier.DISK : CopyTier.REMOTE;
    }

    /** Adds an adapter that has been loaded before a listing shows it. */
    void adapterLoaded(ModelKey key, Instant now) {
        Set<String> adapters = models.get(key.model());
        if (adapters != null) {
            adapters.add(key.adapter());
        }
        adapterUse.put(key, now);
    }

    void adapterOrdered(ModelKey key, Instant now) {
        orderedAdapters.put(key, now);
    }

    void adapterDropped(ModelKey key) {
        orderedAdapters.remove(key);
        Set<String> adapters = models.get(key.model());
        if (adapters != null) {
            adapters.remove(key.adapter());
        }
    }

    void adapterUsed(ModelKey key, Instant now) {
        if (holds(key)) {
            adapterUse.put(key, now);
        }
    }

    /** Returns all adapters that are held or on their way. */
    Set<ModelKey> adapters(Instant now) {
        Set<ModelKey> all = new HashSet<>();
        models.forEach(
                (model, adapters) ->
                        adapters.forEach(adapter -> all.add(new ModelKey(model, adapter))));
        orderedAdapters.values().removeIf(at -> now.isAfter(at.plus(ADAPTER_RESERVED)));
        orderedAdapters.keySet().stream()
                .filter(key -> models.containsKey(key.model()))
                .forEach(all::add);
        return all;
    }

    /** Returns the adapter that was not used for longest. */
    Optional<ModelKey> oldestAdapter(Instant unusedSince, Instant now) {
        ModelKey oldest = null;
        Instant oldestUse = unusedSince;
        for (ModelKey key : adapters(now)) {
            Instant used = adapterUse.getOrDefault(key, Instant.EPOCH);
            if (used.isBefore(oldestUse)) {
                oldestUse = used;
                oldest = key;
            }
        }
        return Optional.ofNullable(oldest);
    }

    /** Returns the memory in use or reserved, megabytes. */
    double usedMegabytes(ModelCatalog catalog, Instant now) {
        double used = 0;
        for (String model : models.keySet()) {
            used += catalog.model(model).map(ModelSpecification::weightsMegabytes).orElse(0.0);
        }
        for (ModelKey key : adapters(now)) {
            used +=
                    catalog.model(key.model())
                            .map(ModelSpecification::adapterMegabytes)
                            .orElse(0.0);
        }
        if (order != null
                && order.action() == OrderAction.LOAD
                && !order.key().hasAdapter()
                && !models.containsKey(order.key().model())) {
            used +=
                    catalog.model(order.key().model())
                            .map(ModelSpecification::weightsMegabytes)
                            .orElse(0.0);
        }
        return used;
    }

    private static Map<String, Set<String>> copy(Map<String, Set<String>> models) {
        Map<String, Set<String>> copy = new HashMap<>();
        models.forEach((model, adapters) -> copy.put(model, new HashSet<>(adapters)));
        return copy;
    }
}
