package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerId;

/**
 * The observations of this process about its server group: configuration, servers, engine reports
 * and demand.
 */
final class GroupView {
    /** Maximum age of the state in an engine report at the time the report arrives. */
    static final Duration REPORT_LAG = Duration.ofSeconds(2);

    /** A server that has sent no report for this long is considered not responding. */
    static final Duration REPORT_LIFETIME = Duration.ofSeconds(10);

    /**
     * Time for which a server counts as leaving after it rejected an order for that reason. By the
     * end of this time its own report says that it is leaving.
     */
    private static final Duration LEAVING_REJECTION_LIFETIME = Duration.ofSeconds(30);

    /**
     * Demand that is not repeated for this long is discarded. Instances with demand repeat it about
     * every second.
     */
    private static final Duration DEMAND_LIFETIME = Duration.ofSeconds(5);

    /** The demand for one artifact, summed over all instances. */
    record TotalDemand(int waiting, int running, Instant earliestDeadline, Priority priority) {
        boolean isIdle() {
            return waiting == 0 && running == 0;
        }
    }

    /**
     * The limits of an artifact, combined over all pools of the group that list it: the largest
     * value of each limit.
     */
    record EffectiveLimit(ArtifactLimit limit, double coldStartWeight) {}

    private record ReceivedDemand(Demand demand, Instant at) {}

    private record ObservedSlot(Slot slot, Instant since, Optional<String> incarnation) {}

    private static final TotalDemand NO_DEMAND = new TotalDemand(0, 0, Instant.MAX, Priority.BATCH);

    private final CapacitySettings settings;
    private List<Pool> pools = List.of();
    private final Map<ArtifactId, EffectiveLimit> effectiveLimits = new LinkedHashMap<>();
    private final Map<ServerId, ListedServer> listed = new HashMap<>();
    private final Map<ServerId, ServerReport> reports = new HashMap<>();
    private final Map<ProcessId, Instant> stoppedProcesses = new HashMap<>();
    private final Map<ArtifactId, Map<InstanceId, ReceivedDemand>> demand = new LinkedHashMap<>();
    private final Map<ArtifactId, Instant> lastUsed = new HashMap<>();
    private final Map<Slot.Key, Instant> lastBusy = new HashMap<>();
    private final Map<Slot.Key, ObservedSlot> observedSlots = new HashMap<>();
    private final Map<Slot.Key, Instant> removedAt = new HashMap<>();
    private final Map<ServerId, Instant> leavingRejections = new HashMap<>();
    private Instant startedAt = Instant.MAX;
    private CapacityRecord indexedRecord;
    private RecordIndex index;

    GroupView(CapacitySettings settings) {
        this.settings = settings;
    }

    void configure(Configuration configuration) {
        pools =
                configuration.pools().stream()
                        .filter(pool -> pool.group().equals(settings.group()))
                        .toList();
        effectiveLimits.clear();
        for (Pool pool : pools) {
            for (ArtifactLimit limit : pool.artifacts()) {
                EffectiveLimit entry = new EffectiveLimit(limit, pool.coldStartWeight());
                effectiveLimits.merge(limit.artifact(), entry, GroupView::merge);
            }
        }
    }

    private static EffectiveLimit merge(EffectiveLimit one, EffectiveLimit other) {
        ArtifactLimit a = one.limit();
        ArtifactLimit b = other.limit();
        return new EffectiveLimit(
                new ArtifactLimit(
                        a.artifact(),
                        a.baseModel(),
                        Math.max(a.memoryBytes(), b.memoryBytes()),
                        Math.max(a.minimumReplicas(), b.minimumReplicas()),
                        Math.max(a.maximumReplicas(), b.maximumReplicas())),
                Math.max(one.coldStartWeight(), other.coldStartWeight()));
    }

    /** Replaces the listed servers. An empty list is assumed to be a faulty reading and ignored. */
    void updateServers(List<ListedServer> servers) {
        if (servers.isEmpty()) {
            return;
        }
        listed.clear();
        servers.forEach(server -> listed.put(server.server(), server));
        reports.keySet().retainAll(listed.keySet());
    }

    void addReport(ServerReport report) {
        if (listed.isEmpty() || listed.containsKey(report.server())) {
            reports.put(report.server(), report);
            for (ArtifactId artifact : report.inProgress()) {
                markUsed(artifact, report.receivedAt());
                lastBusy.put(new Slot.Key(artifact, report.server()), report.receivedAt());
            }
        }
    }

    void updateDemand(InstanceId instance, Demand reported, Instant now) {
        if (reported.waiting() > 0 || reported.running() > 0) {
            demand.computeIfAbsent(reported.artifact(), a -> new HashMap<>())
                    .put(instance, new ReceivedDemand(reported, now));
            markUsed(reported.artifact(), now);
        } else if (demand.containsKey(reported.artifact())) {
            demand.get(reported.artifact()).remove(instance);
        }
        if (reported.arrivals() > 0) {
            markUsed(reported.artifact(), now);
        }
    }

    void onProcessesStopped(Set<ProcessId> processes, Instant now) {
        processes.forEach(process -> stoppedProcesses.putIfAbsent(process, now));
    }

    void onTick(Instant now) {
        startedAt = startedAt.isAfter(now) ? now : startedAt;
        Instant oldest = now.minus(DEMAND_LIFETIME);
        demand.values().forEach(m -> m.values().removeIf(r -> r.at().isBefore(oldest)));
        demand.values().removeIf(Map::isEmpty);
        leavingRejections
                .values()
                .removeIf(at -> at.plus(LEAVING_REJECTION_LIFETIME).isBefore(now));
        removedAt.values().removeIf(at -> at.isBefore(now.minus(REPORT_LIFETIME.multipliedBy(6))));
    }

    /** Records since when each slot has been in its state, and when slots were removed. */
    void observe(CapacityRecord record, Instant now) {
        Set<Slot.Key> present = new HashSet<>();
        for (Slot slot : record.slots()) {
            present.add(slot.key());
            ObservedSlot previous = observedSlots.get(slot.key());
            boolean same =
                    previous != null
                            && previous.slot().state() == slot.state()
                            && previous.slot().fence().equals(slot.fence());
            if (!same) {
                Optional<String> incarnation =
                        Optional.ofNullable(reports.get(slot.server()))
                                .map(ServerReport::incarnation);
                observedSlots.put(slot.key(), new ObservedSlot(slot, now, incarnation));
            }
        }
        for (Slot.Key key : Set.copyOf(observedSlots.keySet())) {
            if (!present.contains(key)) {
                observedSlots.remove(key);
                lastBusy.remove(key);
                removedAt.put(key, now);
            }
        }
    }

    /** Returns the index of a record. The index of the last requested record is cached. */
    RecordIndex index(CapacityRecord record) {
        if (record != indexedRecord) {
            index = new RecordIndex(record);
            indexedRecord = record;
        }
        return index;
    }

    /**
     * Returns the report of a slot's server if the report reflects the current state of the slot:
     * it is newer than the state by more than {@link #REPORT_LAG}, or the engine has restarted
     * since.
     */
    Optional<ServerReport> reportNewerThanState(Slot slot) {
        ObservedSlot observed = observedSlots.get(slot.key());
        return report(slot.server())
                .filter(
                        report ->
                                observed != null
                                        && (report.receivedAt()
                                                        .isAfter(observed.since().plus(REPORT_LAG))
                                                || hasRestarted(observed, report)));
    }

    private static boolean hasRestarted(ObservedSlot observed, ServerReport report) {
        return observed.incarnation().isPresent()
                && !observed.incarnation().get().equals(report.incarnation());
    }

    /**
     * Returns the artifacts, with their size in bytes, that a server reports as loaded or loading
     * although no slot or standby slot of the record covers them.
     */
    Map<ArtifactId, Long> unrecordedArtifacts(ServerId server, CapacityRecord record) {
        Map<ArtifactId, Long> found = new HashMap<>();
        report(server)
                .ifPresent(
                        report -> {
                            collectUnrecorded(report, report.loaded(), record, found);
                            collectUnrecorded(report, report.loading(), record, found);
                        });
        return found;
    }

    private void collectUnrecorded(
            ServerReport report,
            Map<ArtifactId, Long> held,
            CapacityRecord record,
            Map<ArtifactId, Long> found) {
        held.forEach(
                (artifact, bytes) -> {
                    Slot.Key key = new Slot.Key(artifact, report.server());
                    Instant removed = removedAt.get(key);
                    // A slot that was observed but is missing in a draft was just removed after a
                    // confirmed unload. The report is older than the removal.
                    boolean stale =
                            observedSlots.containsKey(key)
                                    || removed != null
                                            && !report.receivedAt()
                                                    .isAfter(removed.plus(REPORT_LAG));
                    boolean decided = index(record).isDecided(artifact, report.server());
                    if (!stale && !decided) {
                        found.put(artifact, bytes);
                    }
                });
    }

    /** Returns the servers that hold an artifact that the record does not cover there. */
    Set<ServerId> serversHoldingUnrecorded(ArtifactId artifact, CapacityRecord record) {
        return reports.values().stream()
                .filter(r -> r.loaded().containsKey(artifact) || r.loading().containsKey(artifact))
                .map(ServerReport::server)
                .filter(server -> unrecordedArtifacts(server, record).containsKey(artifact))
                .collect(Collectors.toSet());
    }

    /**
     * Returns the memory in bytes that can be reserved on a server: the unreserved memory less the
     * memory of unrecorded artifacts and of artifacts that exceed their reservation.
     */
    long freeBytes(ServerId server, CapacityRecord record) {
        long taken =
                unrecordedArtifacts(server, record).values().stream()
                        .mapToLong(Long::longValue)
                        .sum();
        for (Slot slot : index(record).slotsOn(server)) {
            long held =
                    report(server)
                            .map(r -> r.loaded().getOrDefault(slot.artifact(), 0L))
                            .orElse(0L);
            taken += Math.max(0, held - slot.memoryBytes());
        }
        return index(record).freeBytes(server) - taken;
    }

    TotalDemand demand(ArtifactId artifact) {
        Map<InstanceId, ReceivedDemand> byInstance = demand.get(artifact);
        return byInstance == null ? NO_DEMAND : sum(byInstance.values());
    }

    private static TotalDemand sum(Collection<ReceivedDemand> reported) {
        TotalDemand total = NO_DEMAND;
        for (ReceivedDemand each : reported) {
            Demand d = each.demand();
            boolean earlier =
                    d.waiting() > 0 && d.earliestDeadline().isBefore(total.earliestDeadline());
            total =
                    new TotalDemand(
                            total.waiting() + d.waiting(),
                            total.running() + d.running(),
                            earlier ? d.earliestDeadline() : total.earliestDeadline(),
                            d.priority().compareTo(total.priority()) < 0
                                    ? d.priority()
                                    : total.priority());
        }
        return total;
    }

    Set<ArtifactId> artifactsInDemand() {
        return demand.keySet();
    }

    Collection<EffectiveLimit> effectiveLimits() {
        return effectiveLimits.values();
    }

    Optional<EffectiveLimit> effectiveLimit(ArtifactId artifact) {
        return Optional.ofNullable(effectiveLimits.get(artifact));
    }

    List<Pool> pools() {
        return pools;
    }

    Collection<ListedServer> listed() {
        return listed.values();
    }

    Optional<ListedServer> listed(ServerId server) {
        return Optional.ofNullable(listed.get(server));
    }

    Stream<ServerReport> reports() {
        return reports.values().stream();
    }

    Optional<ServerReport> report(ServerId server) {
        return Optional.ofNullable(reports.get(server));
    }

    /**
     * Returns the last report of a server if it is recent enough to show that the server responds.
     */
    Optional<ServerReport> freshReport(ServerId server, Instant now) {
        return report(server)
                .filter(report -> report.receivedAt().plus(REPORT_LIFETIME).isAfter(now));
    }

    /**
     * Tells whether a server responds. A server is assumed to respond until this process has
     * observed the group for long enough to know.
     */
    boolean isResponding(ServerId server, Instant now) {
        // Compares durations: startedAt is Instant.MAX before the first tick, and adding to it
        // would overflow.
        boolean observedLongEnough =
                Duration.between(startedAt, now).compareTo(REPORT_LIFETIME) > 0;
        return freshReport(server, now).isPresent() || !observedLongEnough;
    }

    /** Records that a server rejected an order because it is leaving. */
    void onLeavingRefusal(ServerId server, Instant now) {
        leavingRejections.put(server, now);
    }

    boolean isLeaving(ServerId server) {
        return leavingRejections.containsKey(server)
                || listed(server).map(ListedServer::leaving).orElse(false)
                || report(server).map(ServerReport::leaving).orElse(false);
    }

    /** Tells whether the engine of a server checks fencing tokens; false for an unknown server. */
    boolean checksFencingTokens(ServerId server) {
        return listed(server).map(s -> s.fencing() == FencingKind.CHECKED).orElse(false);
    }

    Optional<FailureDomain> failureDomain(ServerId server) {
        return listed(server).map(ListedServer::failureDomain);
    }

    CacheTier tier(ServerId server, ArtifactId artifact) {
        return report(server).map(report -> report.tier(artifact)).orElse(CacheTier.REMOTE);
    }

    boolean isStopped(ProcessId process) {
        return stoppedProcesses.containsKey(process);
    }

    /**
     * Tells whether a process stopped so long ago that none of its orders can be delivered any
     * more.
     */
    boolean isStoppedBeyondDeliveryLimit(ProcessId process, Instant now) {
        Instant since = stoppedProcesses.get(process);
        return since != null && !now.isBefore(since.plus(OwnOrder.LATE_DELIVERY_LIMIT));
    }

    Set<ProcessId> stoppedProcesses() {
        return stoppedProcesses.keySet();
    }

    /**
     * Returns when an artifact was last used according to the observations of this process. The
     * first call for an artifact without observed use counts as a use.
     */
    Instant lastUsed(ArtifactId artifact, Instant now) {
        return lastUsed.computeIfAbsent(artifact, a -> now);
    }

    /**
     * Returns when a replica last had requests in progress according to the reports. The first call
     * for a replica without such a report counts as busy.
     */
    Instant lastBusy(Slot.Key key, Instant now) {
        return lastBusy.computeIfAbsent(key, k -> now);
    }

    private void markUsed(ArtifactId artifact, Instant at) {
        lastUsed.merge(artifact, at, (a, b) -> a.isAfter(b) ? a : b);
    }
}
