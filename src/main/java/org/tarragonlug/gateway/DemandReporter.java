package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/**
 * Collects the demand for models at this instance between two reports.
 *
 * <p>A request that begins to wait is reported at once, since each millisecond of a cold start
 * counts; arrivals are reported with the next regular report. The two audiences get their reports
 * at different times, so each has a count of its own.
 */
final class DemandReporter {
    /** A want that was not stated again for this long is over. */
    private static final Duration WANT_VALID = Duration.ofMillis(600);

    /** Who receives reports. */
    enum Audience {
        /** The instance that plans. */
        PLANNER,
        /** Holders of leases that may have to plan next. */
        STANDBY
    }

    private record Subject(ServiceName service, ModelKey key) {}

    private static final class Entry {
        private int arrivals;
        private int priority = Integer.MAX_VALUE;
        private Instant targetEnd = Instant.EPOCH;
        private Instant patienceEnd = Instant.EPOCH;
        private Instant wantedAt = Instant.EPOCH;
    }

    private final Map<Audience, Map<Subject, Entry>> entries = new EnumMap<>(Audience.class);
    private final Runnable urgent;

    /**
     * Creates an empty collection.
     *
     * @param urgent called when a report should be sent at once
     */
    DemandReporter(Runnable urgent) {
        this.urgent = urgent;
        for (Audience audience : Audience.values()) {
            entries.put(audience, new HashMap<>());
        }
    }

    void arrived(ServiceName service, ModelKey key) {
        Subject subject = new Subject(service, key);
        entries.values().forEach(each -> entry(each, subject).arrivals++);
    }

    void wanted(ForwardingCommand.ReportWaiting wanted, Instant now) {
        Subject subject = new Subject(wanted.service(), wanted.key());
        boolean fresh = false;
        for (Map<Subject, Entry> each : entries.values()) {
            fresh |= want(entry(each, subject), wanted, now);
        }
        if (fresh) {
            urgent.run();
        }
    }

    /** Tells whether the want is new. */
    private static boolean want(Entry entry, ForwardingCommand.ReportWaiting wanted, Instant now) {
        boolean fresh = now.isAfter(entry.wantedAt.plus(WANT_VALID));
        entry.wantedAt = now;
        entry.priority = Math.min(entry.priority, wanted.priority());
        if (fresh || wanted.deadline().isBefore(entry.patienceEnd)) {
            entry.patienceEnd = wanted.deadline();
        }
        if (fresh || wanted.targetEnd().isAfter(entry.targetEnd)) {
            entry.targetEnd = wanted.targetEnd();
        }
        return fresh;
    }

    private static Entry entry(Map<Subject, Entry> entries, Subject subject) {
        return entries.computeIfAbsent(subject, each -> new Entry());
    }

    /** Returns the demand since the last call for an audience and forgets arrivals. */
    List<ModelDemand> take(Audience audience, Instant now) {
        List<ModelDemand> demands = new ArrayList<>();
        Iterator<Map.Entry<Subject, Entry>> iterator = entries.get(audience).entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Subject, Entry> each = iterator.next();
            Entry entry = each.getValue();
            boolean waiting =
                    now.isBefore(entry.wantedAt.plus(WANT_VALID))
                            && now.isBefore(entry.patienceEnd);
            if (entry.arrivals == 0 && !waiting) {
                iterator.remove();
                demands.add(demand(each.getKey(), entry, false, now));
                continue;
            }
            demands.add(demand(each.getKey(), entry, waiting, now));
            entry.arrivals = 0;
        }
        return demands;
    }

    private static ModelDemand demand(Subject subject, Entry entry, boolean waiting, Instant now) {
        Duration patience = waiting ? Duration.between(now, entry.patienceEnd) : Duration.ZERO;
        return new ModelDemand(
                subject.service(),
                subject.key(),
                entry.arrivals,
                waiting ? 1 : 0,
                waiting ? entry.priority : 0,
                waiting ? Duration.between(now, entry.targetEnd) : Duration.ZERO,
                patience);
    }
}
