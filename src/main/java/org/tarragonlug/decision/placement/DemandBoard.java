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
final class DemandBoard {
    private static final double RATE_WINDOW_SECONDS = 4.0;
    private static final Duration REPORT_VALID = Duration.ofMillis(1500);

    /** A model that was asked for within this time counts as wanted though nobody waits. */
    private static final Duration RECENT = Duration.ofSeconds(3);

    /** Requests a second from which on a model comes first. */
    private static final double BUSY_RATE = 2;

    private static final int BUSY = 0;
    private static final int IN_TIME = 1;
    private static final int LATE = 2;

    /** A model for which requests wait. */
    record Want(ModelKey key, int priority, Instant targetEnd, Instant patienceEnd, double rate) {}

    private record Waiting(
            int priority, Instant targetEnd, Instant patienceEnd, Instant reportedAt) {}

    private static final class Entry {
        private double sum;
        private Instant updatedAt = Instant.EPOCH;
        private Instant lastUsed = Instant.EPOCH;
        private final Map<InstanceId, Waiting> waiting = new HashMap<>();
    }

    private final Map<ServiceName, Map<ModelKey, Entry>> entries = new HashMap<>();

    /** The same entries by model, for the rates of models with all their adapters. */
    private final Map<ServiceName, Map<String, List<Entry>>> byModel = new HashMap<>();

    void report(InstanceId from, ModelDemand demand, Instant now) {
        Entry entry =
                entries.computeIfAbsent(demand.service(), service -> new HashMap<>())
                        .computeIfAbsent(demand.key(), key -> newEntry(demand.service(), key));
        entry.sum = decayed(entry, now) + demand.arrivals();
        entry.updatedAt = now;
        if (demand.arrivals() > 0 || demand.waiting() > 0) {
            entry.lastUsed = now;
        }
        if (demand.waiting() > 0) {
            entry.waiting.put(
                    from,
                    new Waiting(
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

    private List<Entry> of(ServiceName service, String model) {
        return byModel.getOrDefault(service, Map.of()).getOrDefault(model, List.of());
    }

    /** Returns the requests a second for a model alone or with any of its adapters. */
    double modelRate(ServiceName service, String model, Instant now) {
        double rate = 0;
        for (Entry entry : of(service, model)) {
            rate += decayed(entry, now) / RATE_WINDOW_SECONDS;
        }
        return rate;
    }

    /** Returns when a model was last asked for. */
    Instant lastUsed(ServiceName service, String model) {
        Instant last = Instant.EPOCH;
        for (Entry entry : of(service, model)) {
            last = entry.lastUsed.isAfter(last) ? entry.lastUsed : last;
        }
        return last;
    }

    /**
     * Returns the models that requests wait for, the most urgent first: models that many ask for,
     * then those whose requests can still be answered in time, then the others. A request that is
     * late already gains nothing from going first, one that is not does.
     */
    List<Want> wants(ServiceName service, Instant now) {
        List<Want> wants = new ArrayList<>();
        of(service).forEach((key, entry) -> addWant(wants, service, key, entry, now));
        wants.sort(
                Comparator.comparingInt((Want want) -> rank(want, now))
                        .thenComparingInt(Want::priority)
                        .thenComparing(
                                want ->
                                        rank(want, now) == IN_TIME
                                                ? want.targetEnd()
                                                : want.patienceEnd()));
        return wants;
    }

    private static int rank(Want want, Instant now) {
        if (want.rate() >= BUSY_RATE) {
            return BUSY;
        }
        return want.targetEnd().isAfter(now) ? IN_TIME : LATE;
    }

    private void addWant(
            List<Want> wants, ServiceName service, ModelKey key, Entry entry, Instant now) {
        entry.waiting
                .values()
                .removeIf(
                        each ->
                                now.isAfter(each.reportedAt().plus(REPORT_VALID))
                                        || now.isAfter(each.patienceEnd()));
        if (entry.waiting.isEmpty()) {
            return;
        }
        int priority = Integer.MAX_VALUE;
        Instant end = Instant.MAX;
        Instant target = Instant.EPOCH;
        for (Waiting each : entry.waiting.values()) {
            priority = Math.min(priority, each.priority());
            end = each.patienceEnd().isBefore(end) ? each.patienceEnd() : end;
            target = each.targetEnd().isAfter(target) ? each.targetEnd() : target;
        }
        double rate = modelRate(service, key.model(), now);
        wants.add(new Want(key, priority, target, end, rate));
    }

    /** Returns the models that were asked for recently, the most frequent first. */
    List<String> recentModels(ServiceName service, Instant now) {
        Map<String, Double> rates = new HashMap<>();
        of(service)
                .forEach(
                        (key, entry) -> {
                            if (now.isBefore(entry.lastUsed.plus(RECENT))) {
                                rates.merge(key.model(), decayed(entry, now), Double::sum);
                            }
                        });
        List<String> models = new ArrayList<>(rates.keySet());
        models.sort(Comparator.comparingDouble((String model) -> -rates.get(model)));
        return models;
    }

    private Map<ModelKey, Entry> of(ServiceName service) {
        return entries.getOrDefault(service, Map.of());
    }

    private static double decayed(Entry entry, Instant now) {
        double elapsed = Duration.between(entry.updatedAt, now).toMillis() / 1000.0;
        return entry.sum * Math.exp(-elapsed / RATE_WINDOW_SECONDS);
    }
}
