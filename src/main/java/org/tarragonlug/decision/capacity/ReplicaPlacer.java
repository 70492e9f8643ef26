package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/**
 * Finds a server for an additional replica. Adds a slot for the replica, or first orders the
 * unloads that free memory for it.
 *
 * <p>If a standby slot of this process covers the artifact and is not used, the same write removes
 * the artifact from that standby slot. A standby slot of another process cannot be changed, because
 * its holder may fill it at any time. If the maximum is reached including that standby slot, the
 * replica can only be placed on the server of the standby slot, where both count as one replica.
 */
final class ReplicaPlacer {
    private static final Duration EVICTION_TIMEOUT = Duration.ofSeconds(30);

    private record Eviction(ServerId server, Instant at) {}

    private final GroupView view;
    private final Placement placement;
    private final IdleSlots idleSlots;
    private final LoadFailures failures;
    private final StandbyUse standbyUse;
    private final Map<ArtifactId, Eviction> evictions = new HashMap<>();

    ReplicaPlacer(
            GroupView view,
            Placement placement,
            IdleSlots idleSlots,
            LoadFailures failures,
            StandbyUse standbyUse) {
        this.view = view;
        this.placement = placement;
        this.idleSlots = idleSlots;
        this.failures = failures;
        this.standbyUse = standbyUse;
    }

    /**
     * Places an additional replica, or orders the unloads that must come first. Returns the refusal
     * if neither is possible now.
     */
    Optional<CapacityRefusal> place(Draft draft, ArtifactLimit limit) {
        return place(draft, limit, 0);
    }

    /**
     * Like {@link #place(Draft, ArtifactLimit)}, on a server with {@code additionalBytes} of memory
     * besides that of the artifact. A base model is placed with the memory of its adapter.
     */
    private Optional<CapacityRefusal> place(
            Draft draft, ArtifactLimit limit, long additionalBytes) {
        if (isMakingRoom(draft, limit.artifact()) || reload(draft, limit.artifact())) {
            return Optional.empty();
        }
        CapacityRecord record = withoutOwnStandby(draft, limit.artifact());
        Optional<Set<ServerId>> permitted = permittedServers(record, limit);
        if (permitted.isEmpty()) {
            return Optional.of(CapacityRefusal.MAXIMUM_REPLICAS);
        }
        if (limit.isAdapter()) {
            Optional<CapacityRefusal> refusal = ensureBaseModel(draft, limit, permitted.get());
            if (refusal.isPresent()) {
                return refusal;
            }
            record = withoutOwnStandby(draft, limit.artifact());
        }
        List<ServerCandidate> candidates =
                candidates(record, limit, permitted.get(), draft.now()).stream()
                        .filter(c -> !limit.isAdapter() || c.holdsBaseModel())
                        .toList();
        return choose(draft, record, limit, additionalBytes, candidates);
    }

    private Optional<CapacityRefusal> choose(
            Draft draft,
            CapacityRecord record,
            ArtifactLimit limit,
            long additionalBytes,
            List<ServerCandidate> candidates) {
        ArtifactLimit required =
                new ArtifactLimit(
                        limit.artifact(),
                        limit.baseModel(),
                        limit.memoryBytes() + additionalBytes,
                        limit.minimumReplicas(),
                        limit.maximumReplicas());
        Set<FailureDomain> occupied =
                view.index(record).slotsOf(limit.artifact()).stream()
                        .flatMap(slot -> view.failureDomain(slot.server()).stream())
                        .collect(Collectors.toSet());
        Optional<Placement.Choice> choice =
                candidates.isEmpty()
                        ? Optional.empty()
                        : placement.choose(required, candidates, occupied);
        Optional<ServerCandidate> chosen =
                choice.flatMap(
                        c ->
                                candidates.stream()
                                        .filter(s -> s.server().equals(c.server()))
                                        .findFirst());
        if (chosen.isEmpty()) {
            return Optional.of(CapacityRefusal.NO_MEMORY);
        }
        if (chosen.get().freeBytes() >= required.memoryBytes()) {
            draft.setRecord(record);
            draft.addReplica(limit, chosen.get().server());
            return Optional.empty();
        }
        return makeRoom(draft, limit.artifact(), chosen.get(), choice.get().unloadFirst());
    }

    private Optional<CapacityRefusal> makeRoom(
            Draft draft, ArtifactId artifact, ServerCandidate chosen, List<ArtifactId> victims) {
        boolean unloadsOrdered = false;
        for (ArtifactId victim : victims) {
            boolean idle = chosen.idle().stream().anyMatch(i -> i.artifact().equals(victim));
            Optional<Slot> slot = draft.record().slot(victim, chosen.server());
            if (idle && slot.isPresent()) {
                draft.orderUnload(slot.get());
                evictions.put(artifact, new Eviction(chosen.server(), draft.now()));
                unloadsOrdered = true;
            }
        }
        return unloadsOrdered ? Optional.empty() : Optional.of(CapacityRefusal.NO_MEMORY);
    }

    /** Tells whether unloads that free memory for an artifact are still in progress. */
    private boolean isMakingRoom(Draft draft, ArtifactId artifact) {
        Eviction eviction = evictions.get(artifact);
        if (eviction == null) {
            return false;
        }
        boolean timely = eviction.at().plus(EVICTION_TIMEOUT).isAfter(draft.now());
        boolean unloading =
                draft.record().slotsOn(eviction.server()).stream()
                        .anyMatch(slot -> slot.state() == SlotState.UNLOADING);
        if (timely && unloading) {
            return true;
        }
        evictions.remove(artifact);
        return false;
    }

    private CapacityRecord withoutOwnStandby(Draft draft, ArtifactId artifact) {
        CapacityRecord record = draft.record();
        Optional<StandbySlot> own =
                record.standbyOf(artifact)
                        .filter(standby -> standby.holder().equals(draft.process()))
                        .filter(standby -> !standbyUse.isUsing(standby));
        return own.map(
                        standby -> {
                            List<ArtifactId> others = new ArrayList<>(standby.artifacts());
                            others.remove(artifact);
                            return record.withChangedStandby(
                                    standby, standby.withArtifacts(others));
                        })
                .orElse(record);
    }

    /**
     * Returns the servers on which an additional replica may be placed; empty if there are none. If
     * servers already have the artifact loaded without a slot in the record, only these are
     * permitted, so that the artifact is not loaded twice.
     */
    private Optional<Set<ServerId>> permittedServers(CapacityRecord record, ArtifactLimit limit) {
        Set<ServerId> decided = record.decidedServers(limit.artifact());
        Set<ServerId> slots =
                view.index(record).slotsOf(limit.artifact()).stream()
                        .map(Slot::server)
                        .collect(Collectors.toSet());
        Set<ServerId> servers =
                record.servers().stream().map(ServerEntry::server).collect(Collectors.toSet());
        servers.removeAll(slots);
        if (decided.size() >= limit.maximumReplicas()) {
            servers.retainAll(decided);
        }
        Set<ServerId> holdingUnrecorded = view.serversHoldingUnrecorded(limit.artifact(), record);
        if (!holdingUnrecorded.isEmpty()) {
            servers.retainAll(holdingUnrecorded);
        }
        return servers.isEmpty() ? Optional.empty() : Optional.of(servers);
    }

    private Optional<CapacityRefusal> ensureBaseModel(
            Draft draft, ArtifactLimit adapter, Set<ServerId> permitted) {
        ArtifactId base = adapter.baseModel().orElseThrow();
        boolean present =
                candidates(draft.record(), adapter, permitted, draft.now()).stream()
                        .anyMatch(ServerCandidate::holdsBaseModel);
        if (present) {
            return Optional.empty();
        }
        Optional<GroupView.EffectiveLimit> effectiveLimit = view.effectiveLimit(base);
        if (effectiveLimit.isEmpty()) {
            return Optional.of(CapacityRefusal.BASE_MODEL_UNAVAILABLE);
        }
        return place(draft, effectiveLimit.get().limit(), adapter.memoryBytes());
    }

    /**
     * Orders a load on a server where the artifact is being unloaded or an earlier load order is
     * not resolved yet.
     */
    private boolean reload(Draft draft, ArtifactId artifact) {
        Optional<Slot> slot =
                draft.record().slotsOf(artifact).stream()
                        .filter(s -> !s.state().isLoadingOrReady())
                        .filter(s -> !view.isLeaving(s.server()))
                        .filter(s -> view.freshReport(s.server(), draft.now()).isPresent())
                        .filter(s -> !failures.isExhausted(s.key()))
                        .filter(s -> draft.hasNoActiveOrder(s, OrderKind.UNLOAD, view))
                        .filter(s -> hasBaseModel(draft, s))
                        .findFirst();
        slot.ifPresent(draft::orderLoad);
        return slot.isPresent();
    }

    private static boolean hasBaseModel(Draft draft, Slot slot) {
        return slot.baseModel().isEmpty()
                || draft.record()
                        .slot(slot.baseModel().get(), slot.server())
                        .filter(base -> base.state().isLoadingOrReady())
                        .isPresent();
    }

    private List<ServerCandidate> candidates(
            CapacityRecord record, ArtifactLimit limit, Set<ServerId> permitted, Instant now) {
        List<ServerCandidate> candidates = new ArrayList<>();
        for (ServerEntry entry : record.servers()) {
            ServerId server = entry.server();
            boolean usable =
                    entry.state() == ServerState.ACTIVE
                            && permitted.contains(server)
                            && !view.isLeaving(server)
                            && !failures.isExhausted(new Slot.Key(limit.artifact(), server));
            Optional<ServerReport> report = view.freshReport(server, now);
            if (usable && report.isPresent()) {
                candidates.add(candidate(record, limit, report.get(), now));
            }
        }
        return candidates;
    }

    private ServerCandidate candidate(
            CapacityRecord record, ArtifactLimit limit, ServerReport report, Instant now) {
        ServerId server = report.server();
        long unrecordedBytes =
                view.unrecordedArtifacts(server, record).getOrDefault(limit.artifact(), 0L);
        boolean holdsBase =
                limit.baseModel()
                        .flatMap(base -> view.index(record).slot(base, server))
                        .filter(slot -> slot.state().isLoadingOrReady())
                        .isPresent();
        long loads =
                view.index(record).slotsOn(server).stream()
                        .filter(s -> s.hasOpen(OrderKind.LOAD))
                        .count();
        return new ServerCandidate(
                server,
                view.failureDomain(server).orElse(new FailureDomain("unknown")),
                view.freeBytes(server, record) + unrecordedBytes,
                report.tier(limit.artifact()),
                (int) loads,
                report.queued(),
                holdsBase,
                false,
                idleSlots.unloadable(server, record, limit.baseModel(), now));
    }
}
