package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/**
 * Collects the demand for models at this instance between two reports.
 *
 * <p>When requests start to wait for a model, the collector asks for an immediate report, because
 * every millisecond until the planner knows of the wait lengthens the cold start. Arrivals are
 * included in the next periodic report. The two audiences receive their reports at different times,
 * so the collector keeps separate counts for each.
 */
public final class DemandCollector {
    /** A wait for a model counts as ended if it has not been recorded again for this long. */
    private static final Duration WAIT_VALIDITY = Duration.ofMillis(600);

    /** Receivers of reports. */
    public enum Audience {
        /** The instance that decides on the placement of models. */
        PLANNER,
        /** Lease holders that do not plan now but may take over planning. */
        STANDBY
    }

    private record ServiceModel(ServiceName service, ModelKey key) {}

    private static final class Entry {
        private int arrivals;
        private int priority = Integer.MAX_VALUE;
        private Instant latestTarget = Instant.EPOCH;
        private Instant earliestDeadline = Instant.EPOCH;
        private Instant waitUpdatedAt = Instant.EPOCH;
    }

    private final Map<Audience, Map<ServiceModel, Entry>> entries = new EnumMap<>(Audience.class);
    private final Runnable requestUrgentReport;

    /**
     * Creates a collector without demand.
     *
     * @param requestUrgentReport called when a report should be sent without waiting for the next
     *     periodic one
     */
    public DemandCollector(Runnable requestUrgentReport) {
        this.requestUrgentReport = requestUrgentReport;
        for (Audience audience : Audience.values()) {
            entries.put(audience, new HashMap<>());
        }
    }

    /** Counts a request that arrived at this instance. */
    public void recordArrival(ServiceName service, ModelKey key) {
        ServiceModel model = new ServiceModel(service, key);
        entries.values().forEach(each -> entry(each, model).arrivals++);
    }

    /** Records that a request waits; a new wait asks for an immediate report. */
    public void recordWait(ForwardingCommand.ReportWaiting wait, Instant now) {
        ServiceModel model = new ServiceModel(wait.service(), wait.key());
        boolean isNew = false;
        for (Map<ServiceModel, Entry> each : entries.values()) {
            isNew |= updateWait(entry(each, model), wait, now);
        }
        if (isNew) {
            requestUrgentReport.run();
        }
    }

    /**
     * Updates the wait in an entry. Returns whether the wait is new, that is, has not been recorded
     * within {@link #WAIT_VALIDITY}.
     */
    private static boolean updateWait(
            Entry entry, ForwardingCommand.ReportWaiting wait, Instant now) {
        boolean isNew = now.isAfter(entry.waitUpdatedAt.plus(WAIT_VALIDITY));
        entry.waitUpdatedAt = now;
        entry.priority = Math.min(entry.priority, wait.priority());
        if (isNew || wait.deadline().isBefore(entry.earliestDeadline)) {
            entry.earliestDeadline = wait.deadline();
        }
        if (isNew || wait.targetEnd().isAfter(entry.latestTarget)) {
            entry.latestTarget = wait.targetEnd();
        }
        return isNew;
    }

    private static Entry entry(Map<ServiceModel, Entry> entries, ServiceModel model) {
        return entries.computeIfAbsent(model, each -> new Entry());
    }

    /**
     * Returns the demand since the previous call for this audience and resets the arrival counts.
     * An entry without arrivals and without waiting requests is returned once more with zeros and
     * then removed, so the receiver sees that the demand has ended.
     */
    public List<ModelDemand> collect(Audience audience, Instant now) {
        List<ModelDemand> demands = new ArrayList<>();
        Iterator<Map.Entry<ServiceModel, Entry>> iterator =
                entries.get(audience).entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<ServiceModel, Entry> each = iterator.next();
            Entry entry = each.getValue();
            boolean waiting =
                    now.isBefore(entry.waitUpdatedAt.plus(WAIT_VALIDITY))
                            && now.isBefore(entry.earliestDeadline);
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

    private static ModelDemand demand(
            ServiceModel model, Entry entry, boolean waiting, Instant now) {
        Duration untilDeadline =
                waiting ? Duration.between(now, entry.earliestDeadline) : Duration.ZERO;
        return new ModelDemand(
                model.service(),
                model.key(),
                entry.arrivals,
                waiting ? 1 : 0,
                waiting ? entry.priority : 0,
                waiting ? Duration.between(now, entry.latestTarget) : Duration.ZERO,
                untilDeadline);
    }
}
