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

/** What this process has observed of the group: configuration, servers, reports and demand. */
final class GroupView {
    /** Reports may show a state this much older than their arrival. */
    static final Duration REPORT_LAG = Duration.ofSeconds(2);

    /** A server without a report for this long is taken as not answering. */
    static final Duration REPORT_LIFETIME = Duration.ofSeconds(10);

    /** How long a refusal with "leaving" counts; by then the server's report says so itself. */
    private static final Duration LEAVING_REFUSAL_LIFETIME = Duration.ofSeconds(30);

    /** Instances repeat their demand about every second while they have any. */
    private static final Duration DEMAND_LIFETIME = Duration.ofSeconds(5);

    /** Requests for one artifact, over all instances. */
    record TotalDemand(int waiting, int running, Instant earliestDeadline, Priority priority) {
        boolean isIdle() {
            return waiting == 0 && running == 0;
        }
    }

    /** An artifact's limits over all pools of the group that list it. */
    record EffectiveLimit(ArtifactLimit limit, double coldStartWeight) {}

    private record ReceivedDemand(Demand demand, Instant at) {}

    private record ObservedSlot(Slot slot, Instant since, Optional<String> incarnation) {}

    private static final TotalDemand NO_DEMAND = new TotalDemand(0, 0, Instant.MAX, Priority.BATCH);

    private final CapacitySettings settings;
    private List<Pool> pools = List.of();
    private final Map<ArtifactId, EffectiveLimit> effectiveLimit = new LinkedHashMap<>();
    private final Map<ServerId, ListedServer> listed = new HashMap<>();
    private final Map<ServerId, ServerReport> reports = new HashMap<>();
    private final Map<ProcessId, Instant> stoppedProcesses = new HashMap<>();
    private final Map<ArtifactId, Map<InstanceId, ReceivedDemand>> demand = new LinkedHashMap<>();
    private final Map<ArtifactId, Instant> lastUsed = new HashMap<>();
    private final Map<Slot.Key, Instant> lastBusy = new HashMap<>();
    private final Map<Slot.Key, ObservedSlot> observedSlots = new HashMap<>();
    private final Map<Slot.Key, Instant> removedAt = new HashMap<>();
    private final Map<ServerId, Instant> leavingRefusals = new HashMap<>();
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
        effectiveLimit.clear();
        for (Pool pool : pools) {
            for (ArtifactLimit limit : pool.artifacts()) {
                EffectiveLimit entry = new EffectiveLimit(limit, pool.coldStartWeight());
                effectiveLimit.merge(limit.artifact(), entry, GroupView::merge);
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

    void updateServers(List<ListedServer> servers) {
        if (servers.isEmpty()) {
            return;
        }
        listed.clear();
        servers.forEach(server -> listed.put(server.server(), server));
        reports.keySet().retainAll(listed.keySet());
    }

    void report(ServerReport report) {
        if (listed.isEmpty() || listed.containsKey(report.server())) {
            reports.put(report.server(), report);
            for (ArtifactId artifact : report.inProgress()) {
                markUsed(artifact, report.receivedAt());
                lastBusy.put(new Slot.Key(artifact, report.server()), report.receivedAt());
            }
        }
    }

    void demand(InstanceId instance, Demand reported, Instant now) {
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
        leavingRefusals.values().removeIf(at -> at.plus(LEAVING_REFUSAL_LIFETIME).isBefore(now));
        removedAt.values().removeIf(at -> at.isBefore(now.minus(REPORT_LIFETIME.multipliedBy(6))));
    }

    /** Remembers since when each slot has been in its state, and what was removed. */
    void observe(CapacityRecord record, Instant now) {
        Set<Slot.Key> present = new HashSet<>();
        for (Slot slot : record.slots()) {
            present.add(slot.key());
            ObservedSlot known = observedSlots.get(slot.key());
            boolean same =
                    known != null
                            && known.slot().state() == slot.state()
                            && known.slot().fence().equals(slot.fence());
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

    /** Returns the index of a record; the one of the last record asked for is kept. */
    RecordIndex index(CapacityRecord record) {
        if (record != indexedRecord) {
            index = new RecordIndex(record);
            indexedRecord = record;
        }
        return index;
    }

    /** Returns the report on a slot's server if it is newer than the slot's state. */
    Optional<ServerReport> reportNewerThanState(Slot slot) {
        ObservedSlot seen = observedSlots.get(slot.key());
        return report(slot.server())
                .filter(
                        report ->
                                seen != null
                                        && (report.receivedAt()
                                                        .isAfter(seen.since().plus(REPORT_LAG))
                                                || hasRestarted(seen, report)));
    }

    private static boolean hasRestarted(ObservedSlot seen, ServerReport report) {
        return seen.incarnation().isPresent()
                && !seen.incarnation().get().equals(report.incarnation());
    }

    /** Returns artifacts, with their bytes, that a server holds without any decision. */
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
                    // A slot that is known but missing in a draft was just removed by a confirmed
                    // unload; the report is older than that.
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

    /** Returns the servers that hold an artifact without any decision. */
    Set<ServerId> serversHoldingUnrecorded(ArtifactId artifact, CapacityRecord record) {
        return reports.values().stream()
                .filter(r -> r.loaded().containsKey(artifact) || r.loading().containsKey(artifact))
                .map(ServerReport::server)
                .filter(server -> unrecordedArtifacts(server, record).containsKey(artifact))
                .collect(Collectors.toSet());
    }

    /** Returns the memory that may be given out on a server, bytes. */
    long freeBytes(ServerId server, CapacityRecord record) {
        long taken = unrecordedArtifacts(server, record).values().stream().mapToLong(Long::longValue).sum();
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
        Map<InstanceId, ReceivedDemand> by = demand.get(artifact);
        return by == null ? NO_DEMAND : sum(by.values());
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

    Collection<EffectiveLimit> effectiveLimit() {
        return effectiveLimit.values();
    }

    Optional<EffectiveLimit> effectiveLimit(ArtifactId artifact) {
        return Optional.ofNullable(effectiveLimit.get(artifact));
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

    /** Returns the report of a server that answers. */
    Optional<ServerReport> freshReport(ServerId server, Instant now) {
        return report(server)
                .filter(report -> report.receivedAt().plus(REPORT_LIFETIME).isAfter(now));
    }

    /** Tells whether a server answers; one that was not observed for long enough is assumed to. */
    boolean isResponding(ServerId server, Instant now) {
        // Compares durations: before the first tick the start is the largest instant, and adding to
        // it would overflow.
        boolean observedLongEnough =
                Duration.between(startedAt, now).compareTo(REPORT_LIFETIME) > 0;
        return freshReport(server, now).isPresent() || !observedLongEnough;
    }

    /** Remembers that a server refused an order because it is leaving. */
    void onLeavingRefusal(ServerId server, Instant now) {
        leavingRefusals.put(server, now);
    }

    boolean isLeaving(ServerId server) {
        return leavingRefusals.containsKey(server)
                || listed(server).map(ListedServer::leaving).orElse(false)
                || report(server).map(ServerReport::leaving).orElse(false);
    }

    /** Tells whether the engine checks fences; an unknown server is taken as not checking them. */
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

    /** Tells whether nothing that a process sent can arrive any more. */
    boolean isStoppedBeyondDeliveryLimit(ProcessId process, Instant now) {
        Instant since = stoppedProcesses.get(process);
        return since != null && !now.isBefore(since.plus(OwnOrder.LATE_DELIVERY_LIMIT));
    }

    Set<ProcessId> stoppedProcesses() {
        return stoppedProcesses.keySet();
    }

    /** Returns when an artifact was last used as far as this process knows. */
    Instant lastUsed(ArtifactId artifact, Instant now) {
        return lastUsed.computeIfAbsent(artifact, a -> now);
    }

    /** Returns when a replica last had requests in progress as far as this process knows. */
    Instant lastBusy(Slot.Key key, Instant now) {
        return lastBusy.computeIfAbsent(key, k -> now);
    }

    private void markUsed(ArtifactId artifact, Instant at) {
        lastUsed.merge(artifact, at, (a, b) -> a.isAfter(b) ? a : b);
    }
}
