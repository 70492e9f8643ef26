package org.tarragonlug.decision.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/**
 * Maintains the standby slots of each pool: their number, servers, holders and lists of cold
 * models. A model is cold if none of its replicas is loaded or being loaded.
 *
 * <p>A standby slot may list a model only if the slots of the model and the standby slot together
 * stay within the maximum number of replicas, because the holder of the standby slot may load the
 * model at any time. Adapters are not listed, because they would need their base model on the same
 * server.
 */
final class StandbyMaintenance {
    private final GroupView view;
    private final StandbyUse standbyUse;

    StandbyMaintenance(GroupView view, StandbyUse standbyUse) {
        this.view = view;
        this.standbyUse = standbyUse;
    }

    /**
     * Removes the unused standby slots of this process. Called if this process is not the decider.
     */
    void release(Draft draft) {
        for (StandbySlot standby : draft.record().standbySlots()) {
            if (isOwnUnused(draft, standby)) {
                draft.setRecord(draft.record().withoutStandby(standby));
            }
        }
    }

    /**
     * Removes the standby slots of stopped processes, and unused ones of this process that are on
     * leaving servers or exceed the number configured for their pool. Called before replicas are
     * decided.
     */
    void prune(Draft draft) {
        for (StandbySlot standby : draft.record().standbySlots()) {
            if (view.isStoppedBeyondDeliveryLimit(standby.holder(), draft.now())) {
                view.freshReport(standby.server(), draft.now())
                        .ifPresent(report -> convertOccupied(draft, standby, report));
                continue;
            }
            boolean removable =
                    isOwnUnused(draft, standby)
                            && (view.isLeaving(standby.server()) || isSurplus(draft, standby));
            if (removable) {
                draft.setRecord(draft.record().withoutStandby(standby));
            }
        }
    }

    /**
     * Removes a standby slot whose holder has stopped. The artifact that the holder had loaded into
     * it gets an ordinary slot, so that the record covers the artifact until it is unloaded. A
     * standby slot of which the server holds several artifacts is kept until at most one of them is
     * left.
     */
    private void convertOccupied(Draft draft, StandbySlot standby, ServerReport report) {
        List<ArtifactId> held =
                standby.artifacts().stream()
                        .filter(
                                a ->
                                        report.loaded().containsKey(a)
                                                || report.loading().containsKey(a))
                        .filter(a -> draft.record().slot(a, standby.server()).isEmpty())
                        .toList();
        if (held.size() > 1) {
            return;
        }
        CapacityRecord record = draft.record();
        CapacityRecord without = record.withoutStandby(standby);
        draft.setRecord(without);
        for (ArtifactId artifact : held) {
            long bytes = report.loaded().getOrDefault(artifact, report.loading().get(artifact));
            Slot slot =
                    new Slot(
                            artifact,
                            Optional.empty(),
                            standby.server(),
                            Math.min(bytes, standby.memoryBytes()),
                            SlotState.LOADING,
                            standby.fence(),
                            List.of());
            draft.setRecord(without.withNewSlot(slot, record.decidedServers(artifact).size()));
        }
    }

    /**
     * Creates missing standby slots and adds uncovered cold models to existing ones. Called after
     * replicas are decided.
     */
    void extend(Draft draft) {
        for (Pool pool : view.pools()) {
            for (int i = ofPool(draft, pool).size(); i < pool.standbySlots(); i++) {
                create(draft, pool, i);
            }
            for (StandbySlot standby : ofPool(draft, pool)) {
                if (isOwnUnused(draft, standby)) {
                    update(draft, pool, standby);
                }
            }
        }
    }

    private void update(Draft draft, Pool pool, StandbySlot standby) {
        List<ArtifactId> kept = standby.artifacts().stream().filter(a -> isCold(draft, a)).toList();
        long room = standby.memoryBytes() + view.freeBytes(standby.server(), draft.record());
        List<ArtifactLimit> added = uncovered(draft, pool, standby.server(), room);
        if (!added.isEmpty()) {
            List<ArtifactId> all = new ArrayList<>(kept);
            added.forEach(limit -> all.add(limit.artifact()));
            long memory = Math.max(standby.memoryBytes(), largest(added));
            StandbySlot changed =
                    new StandbySlot(
                            pool.name(),
                            standby.server(),
                            memory,
                            draft.process(),
                            all,
                            draft.newFencingTokenRange(),
                            Optional.empty());
            draft.setRecord(draft.record().withChangedStandby(standby, changed));
        } else if (kept.size() < standby.artifacts().size()) {
            draft.setRecord(
                    draft.record().withChangedStandby(standby, standby.withArtifacts(kept)));
        }
    }

    private void create(Draft draft, Pool pool, int index) {
        Optional<ServerId> mostFree =
                draft.record().servers().stream()
                        .filter(entry -> entry.state() == ServerState.ACTIVE)
                        .map(ServerEntry::server)
                        .filter(server -> !view.isLeaving(server))
                        .filter(server -> view.freshReport(server, draft.now()).isPresent())
                        .max(
                                Comparator.comparing(
                                        (ServerId server) ->
                                                view.freeBytes(server, draft.record())));
        if (mostFree.isEmpty()) {
            return;
        }
        ServerId server = mostFree.get();
        long room = view.freeBytes(server, draft.record());
        List<ArtifactLimit> cold = uncovered(draft, pool, server, room);
        // Each standby slot takes an equal share of the uncovered models and leaves the rest to the
        // standby slots that are still to be created.
        int slots = pool.standbySlots() - index;
        int share = (cold.size() + slots - 1) / slots;
        List<ArtifactLimit> taken = cold.subList(0, share);
        if (!taken.isEmpty()) {
            List<ArtifactId> artifacts = taken.stream().map(ArtifactLimit::artifact).toList();
            StandbySlot standby =
                    new StandbySlot(
                            pool.name(),
                            server,
                            largest(taken),
                            draft.process(),
                            artifacts,
                            draft.newFencingTokenRange(),
                            Optional.empty());
            draft.setRecord(draft.record().withNewStandby(standby));
        }
    }

    private List<ArtifactLimit> uncovered(Draft draft, Pool pool, ServerId server, long room) {
        CapacityRecord record = draft.record();
        return pool.artifacts().stream()
                .filter(limit -> !limit.isAdapter() && limit.memoryBytes() <= room)
                .filter(limit -> view.index(record).standbyOf(limit.artifact()).isEmpty())
                .filter(limit -> isCold(draft, limit.artifact()))
                .filter(limit -> view.demand(limit.artifact()).isIdle())
                .filter(limit -> isWithinMaximum(record, limit, server))
                .filter(limit -> view.serversHoldingUnrecorded(limit.artifact(), record).isEmpty())
                .toList();
    }

    private boolean isWithinMaximum(CapacityRecord record, ArtifactLimit limit, ServerId server) {
        Set<ServerId> decided = view.index(record).decidedServers(limit.artifact());
        int others = decided.contains(server) ? decided.size() - 1 : decided.size();
        return others < limit.maximumReplicas();
    }

    /**
     * Tells whether a model is listed by a pool and has no replica loaded or being loaded, so that
     * it could not be served during an outage without a standby slot.
     */
    private boolean isCold(Draft draft, ArtifactId artifact) {
        return view.effectiveLimit(artifact).isPresent()
                && view.index(draft.record()).slotsOf(artifact).stream()
                        .noneMatch(s -> s.state().isLoadingOrReady());
    }

    private boolean isSurplus(Draft draft, StandbySlot standby) {
        int configured =
                view.pools().stream()
                        .filter(pool -> pool.name().equals(standby.pool()))
                        .mapToInt(Pool::standbySlots)
                        .sum();
        long present =
                draft.record().standbySlots().stream()
                        .filter(other -> other.pool().equals(standby.pool()))
                        .count();
        return present > configured;
    }

    private boolean isOwnUnused(Draft draft, StandbySlot standby) {
        return standby.holder().equals(draft.process()) && !standbyUse.isUsing(standby);
    }

    private static List<StandbySlot> ofPool(Draft draft, Pool pool) {
        return draft.record().standbySlots().stream()
                .filter(standby -> standby.pool().equals(pool.name()))
                .toList();
    }

    private static long largest(List<ArtifactLimit> limits) {
        return limits.stream().mapToLong(ArtifactLimit::memoryBytes).max().orElse(0);
    }
}
