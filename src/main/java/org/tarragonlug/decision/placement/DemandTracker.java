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
 * Demand for models over all instances.
 *
 * <p>A rate is an exponentially decaying sum of arrivals. Waiting requests are those of the newest
 * report of each instance; a report that is not repeated is forgotten, so that an instance that
 * died does not keep a model wanted.
 */
final class DemandTracker {
    private static final double RATE_WINDOW_SECONDS = 4.0;
    private static final Duration REPORT_VALIDITY = Duration.ofMillis(1500);

    /** A model that was asked for within this time counts as wanted though nobody waits. */
    private static final Duration RECENT_DEMAND_PERIOD = Duration.ofSeconds(3);

    /** Requests a second from which on a model comes first. */
    private static final double BUSY_RATE = 2;

    private static final int BUSY_RANK = 0;
    private static final int IN_TIME_RANK = 1;
    private static final int LATE_RANK = 2;

    /** A model for which requests wait. */
    record WaitingModel(ModelKey key, int priority, Instant targetEnd, Instant patienceEnd, double rate) {}

    private record WaitingReport(
            int priority, Instant targetEnd, Instant patienceEnd, Instant reportedAt) {}

    private static final class Entry {
        private double sum;
        private Instant updatedAt = Instant.EPOCH;
        private Instant lastRequested = Instant.EPOCH;
        private final Map<InstanceId, WaitingReport> waiting = new HashMap<>();
    }

    private final Map<ServiceName, Map<ModelKey, Entry>> entries = new HashMap<>();

    /** The same entries by model, for the rates of models with all their adapters. */
    private final Map<ServiceName, Map<String, List<Entry>>> byModel = new HashMap<>();

    void addReport(InstanceId from, ModelDemand demand, Instant now) {
        Entry entry =
                entries.computeIfAbsent(demand.service(), service -> new HashMap<>())
                        .computeIfAbsent(demand.key(), key -> newEntry(demand.service(), key));
        entry.sum = decayed(entry, now) + demand.arrivals();
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

    /** Returns the requests a second for a model alone or with any of its adapters. */
    double modelRate(ServiceName service, String model, Instant now) {
        double rate = 0;
        for (Entry entry : entriesOf(service, model)) {
            rate += decayed(entry, now) / RATE_WINDOW_SECONDS;
        }
        return rate;
    }

    /** Returns when a model was last asked for. */
    Instant lastRequested(ServiceName service, String model) {
        Instant last = Instant.EPOCH;
        for (Entry entry : entriesOf(service, model)) {
            last = entry.lastRequested.isAfter(last) ? entry.lastRequested : last;
        }
        return last;
    }

    /**
     * Returns the models that requests wait for, the most urgent first: models that many ask for,
     * then those whose requests can still be answered in time, then the others. A request that is
     * late already gains nothing from going first, one that is not does.
     */
    List<WaitingModel> waitingModels(ServiceName service, Instant now) {
        List<WaitingModel> models = new ArrayList<>();
        entriesOf(service).forEach((key, entry) -> addIfWaiting(models, service, key, entry, now));
        models.sort(
                Comparator.comparingInt((WaitingModel want) -> rank(want, now))
                        .thenComparingInt(WaitingModel::priority)
                        .thenComparing(
                                want ->
                                        rank(want, now) == IN_TIME_RANK
                                                ? want.targetEnd()
                                                : want.patienceEnd()));
        return models;
    }

    private static int rank(WaitingModel model, Instant now) {
        if (model.rate() >= BUSY_RATE) {
            return BUSY_RANK;
        }
        return model.targetEnd().isAfter(now) ? IN_TIME_RANK : LATE_RANK;
    }

    private void addIfWaiting(
            List<WaitingModel> models, ServiceName service, ModelKey key, Entry entry, Instant now) {
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
            patienceEnd = each.patienceEnd().isBefore(patienceEnd) ? each.patienceEnd() : patienceEnd;
            targetEnd = each.targetEnd().isAfter(targetEnd) ? each.targetEnd() : targetEnd;
        }
        double rate = modelRate(service, key.model(), now);
        models.add(new WaitingModel(key, priority, targetEnd, patienceEnd, rate));
    }

    /** Returns the models that were asked for recently, the most frequent first. */
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
        return entry.sum * Math.exp(-elapsed / RATE_WINDOW_SECONDS);
    }
}
