package org.tarragonlug.decision.capacity;

import java.time.Duration;
import org.tarragonlug.id.ArtifactId;

/** Decides which idle slots are unloaded although no memory is wanted. */
final class UnloadDecisions {
    /** A load that nobody wants is given up only after demand has been absent for this long. */
    private static final Duration ABANDON_AFTER = Duration.ofSeconds(5);

    private final GroupView view;
    private final IdleSlots idleSlots;
    private final ReplicaDecisions replicas;

    UnloadDecisions(GroupView view, IdleSlots idleSlots, ReplicaDecisions replicas) {
        this.view = view;
        this.idleSlots = idleSlots;
        this.replicas = replicas;
    }

    void apply(Draft draft) {
        for (Slot slot : draft.record().slots()) {
            boolean unload =
                    switch (slot.state()) {
                        case READY -> isDispensable(draft, slot);
                        case LOADING -> isAbandoned(draft, slot);
                        case UNLOADING, UNSETTLED -> false;
                    };
            if (unload) {
                draft.orderUnload(slot);
            }
        }
    }

    private boolean isDispensable(Draft draft, Slot slot) {
        CapacityRecord record = draft.record();
        ArtifactId artifact = slot.artifact();
        if (view.isLeaving(slot.server())) {
            return idleSlots.isUnused(slot, record, draft.now());
        }
        if (!idleSlots.isIdle(slot, record, draft.now())) {
            return false;
        }
        int maximum = view.allowed(artifact).map(a -> a.limit().maximumReplicas()).orElse(0);
        boolean excess = view.index(record).decidedServers(artifact).size() > maximum;
        boolean spare = idleSlots.spareReplicas(artifact, record) > 0;
        return excess || spare && idleSlots.hasExpired(slot, draft.now());
    }

    private boolean isAbandoned(Draft draft, Slot slot) {
        boolean leaving = view.isLeaving(slot.server());
        boolean recent =
                view.lastUsed(slot.artifact(), draft.now())
                        .plus(ABANDON_AFTER)
                        .isAfter(draft.now());
        boolean unwanted = !recent && !replicas.isWanted(slot, draft.record());
        return (leaving || unwanted)
                && draft.isUnclaimed(slot, OrderKind.LOAD, view)
                && !view.index(draft.record()).isBaseOfOthers(slot);
    }
}
