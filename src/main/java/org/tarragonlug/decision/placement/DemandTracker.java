package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/**
 * Tracks the demand for models over all instances.
 *
 * <p>A request rate is computed from an exponentially decaying sum of arrivals. The waiting
 * requests are those in the newest report of each instance. A report expires if it is not repeated.
 * Otherwise the last report of a crashed instance would keep models in demand.
 */
final class DemandTracker {
    private static final double RATE_WINDOW_SECONDS = 4.0;
    private static final Duration REPORT_VALIDITY = Duration.ofMillis(1500);

    /** A model requested within this time counts as in demand even if no request waits for it. */
    private static final Duration RECENT_DEMAND_PERIOD = Duration.ofSeconds(3);

    /** Requests per second from which on a model is served before all others. */
    private static final double BUSY_RATE = 2;

    private static final int BUSY_RANK = 0;
    private static final int IN_TIME_RANK = 1;
    private static final int LATE_RANK = 2;

    /**
     * A model or adapter that requests wait for.
     *
     * @param key the model, or the model and adapter
     * @param priority priority of the most urgent waiting request; 0 is the most urgent
     * @param targetEnd latest time until which a waiting request can meet its target latency
     * @param patienceEnd time at which the first waiting request stops waiting
     * @param rate requests per second for the model with all its adapters
     */
    record WaitingModel(
            ModelKey key, int priority, Instant targetEnd, Instant patienceEnd, double rate) {}

    private record WaitingReport(
            int priority, Instant targetEnd, Instant patienceEnd, Instant reportedAt) {}

    private static final class Entry {
        private double decayedArrivals;
        private Instant updatedAt = Instant.EPOCH;
        private Instant lastRequested = Instant.EPOCH;
        private final Map<InstanceId, WaitingReport> waiting = new HashMap<>();
    }

    private final Map<ServiceName, Map<ModelKey, Entry>> entries = new HashMap<>();

    /** The same entries by model, to sum up the rate of a model and its adapters. */
    private final Map<ServiceName, Map<String, List<Entry>>> byModel = new HashMap<>();

    void addReport(InstanceId from, ModelDemand demand, Instant now) {
        Entry entry =
                entries.computeIfAbsent(demand.service(), service -> new HashMap<>())
                        .computeIfAbsent(demand.key(), key -> newEntry(demand.service(), key));
        entry.decayedArrivals = decayed(entry, now) + demand.arrivals();
        entry.updatedAt = now;
        if (demand.arrivals() > 0 || demand.waiting() > 0) {
            entry.lastRequested = now;
        }
        if (demand.waiting() > 0) {
            entry.waiting.put(
                    from,
                    new WaitingReport(
                            demand.priority(),
                            now.plus(demand.target()),
                            now.plus(demand.patience()),
                            now));
        } else {
            entry.waiting.remove(from);
        }
    }

    private Entry newEntry(ServiceName service, ModelKey key) {
        Entry entry = new Entry();
        byModel.computeIfAbsent(service, each -> new HashMap<>())
                .computeIfAbsent(key.model(), model -> new ArrayList<>())
                .add(entry);
        return entry;
    }

    private List<Entry> entriesOf(ServiceName service, String model) {
        return byModel.getOrDefault(service, Map.of()).getOrDefault(model, List.of());
    }

    /** Returns the requests per second for a model, with or without one of its adapters. */
    double modelRate(ServiceName service, String model, Instant now) {
        double rate = 0;
        for (Entry entry : entriesOf(service, model)) {
            rate += decayed(entry, now) / RATE_WINDOW_SECONDS;
        }
        return rate;
    }

    /** Returns when a model was last requested; {@link Instant#EPOCH} if it never was. */
    Instant lastRequested(ServiceName service, String model) {
        Instant last = Instant.EPOCH;
        for (Entry entry : entriesOf(service, model)) {
            last = entry.lastRequested.isAfter(last) ? entry.lastRequested : last;
        }
        return last;
    }

    /**
     * Returns the models that requests wait for, the most urgent first: busy models, then models
     * whose requests can still meet their target latency, then the others. A request that has
     * already missed its target gains nothing from being served first, whereas a request that can
     * still meet its target does.
     */
    List<WaitingModel> waitingModels(ServiceName service, Instant now) {
        List<WaitingModel> models = new ArrayList<>();
        entriesOf(service).forEach((key, entry) -> addIfWaiting(models, service, key, entry, now));
        models.sort(
                Comparator.comparingInt((WaitingModel model) -> rank(model, now))
                        .thenComparingInt(WaitingModel::priority)
                        .thenComparing(
                                model ->
                                        rank(model, now) == IN_TIME_RANK
                                                ? model.targetEnd()
                                                : model.patienceEnd()));
        return models;
    }

    private static int rank(WaitingModel model, Instant now) {
        if (model.rate() >= BUSY_RATE) {
            return BUSY_RANK;
        }
        return model.targetEnd().isAfter(now) ? IN_TIME_RANK : LATE_RANK;
    }

    private void addIfWaiting(
            List<WaitingModel> models,
            ServiceName service,
            ModelKey key,
            Entry entry,
            Instant now) {
        entry.waiting
                .values()
                .removeIf(
                        each ->
                                now.isAfter(each.reportedAt().plus(REPORT_VALIDITY))
                                        || now.isAfter(each.patienceEnd()));
        if (entry.waiting.isEmpty()) {
            return;
        }
        int priority = Integer.MAX_VALUE;
        Instant patienceEnd = Instant.MAX;
        Instant targetEnd = Instant.EPOCH;
        for (WaitingReport each : entry.waiting.values()) {
            priority = Math.min(priority, each.priority());
            patienceEnd =
                    each.patienceEnd().isBefore(patienceEnd) ? each.patienceEnd() : patienceEnd;
            targetEnd = each.targetEnd().isAfter(targetEnd) ? each.targetEnd() : targetEnd;
        }
        double rate = modelRate(service, key.model(), now);
        models.add(new WaitingModel(key, priority, targetEnd, patienceEnd, rate));
    }

    /** Returns the recently requested models, the most frequently requested first. */
    List<String> recentModels(ServiceName service, Instant now) {
        Map<String, Double> rates = new HashMap<>();
        entriesOf(service)
                .forEach(
                        (key, entry) -> {
                            if (now.isBefore(entry.lastRequested.plus(RECENT_DEMAND_PERIOD))) {
                                rates.merge(key.model(), decayed(entry, now), Double::sum);
                            }
                        });
        List<String> models = new ArrayList<>(rates.keySet());
        models.sort(Comparator.comparingDouble((String model) -> -rates.get(model)));
        return models;
    }

    private Map<ModelKey, Entry> entriesOf(ServiceName service) {
        return entries.getOrDefault(service, Map.of());
    }

    private static double decayed(Entry entry, Instant now) {
        double elapsed = Duration.between(entry.updatedAt, now).toMillis() / 1000.0;
        return entry.decayedArrivals * Math.exp(-elapsed / RATE_WINDOW_SECONDS);
    }
}
