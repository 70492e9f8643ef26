package org.tarragonlug.decision.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/**
 * Everything decided for one server group: slots, standby slots and with them the memory of each
 * server. It is one object of the object API, so that one conditional update decides the number of
 * replicas and the memory together.
 *
 * <p>The functions that add something check that memory is not overcommitted (I2) and that an
 * artifact is decided on no more servers than allowed (I1). They throw {@link
 * IllegalStateException}; callers ask {@link #freeBytes} and {@link #decidedServers} first. A slot
 * and a standby slot that covers the same artifact on the same server count as one replica, because
 * loading what is loaded has no effect.
 *
 * @param formatVersion version of the stored form
 * @param group the server group
 * @param revision grows with each write; the fencing number of what the write decided
 * @param servers servers with their memory
 * @param slots decided replicas
 * @param standbySlots memory set aside for an outage of the object API
 * @param lastOperations the last write of each process
 */
public record CapacityRecord(
        int formatVersion,
        ServerGroup group,
        long revision,
        List<ServerEntry> servers,
        List<Slot> slots,
        List<StandbySlot> standbySlots,
        Map<ProcessId, OperationId> lastOperations) {
    /** Version of the stored form that this release writes. */
    public static final int FORMAT_VERSION = 1;

    /** Most servers of a group; keeps the object well below 1 MB. */
    public static final int MAXIMUM_SERVERS = 128;

    public CapacityRecord {
        servers = List.copyOf(servers);
        slots = List.copyOf(slots);
        standbySlots = List.copyOf(standbySlots);
        lastOperations = Map.copyOf(lastOperations);
    }

    /** Returns the record of a group that has none yet. */
    public static CapacityRecord empty(ServerGroup group) {
        return new CapacityRecord(
                FORMAT_VERSION, group, 0, List.of(), List.of(), List.of(), Map.of());
    }

    /** Finds a server. */
    public Optional<ServerEntry> server(ServerId id) {
        return servers.stream().filter(entry -> entry.server().equals(id)).findFirst();
    }

    /** Finds the slot of an artifact on a server. */
    public Optional<Slot> slot(ArtifactId artifact, ServerId server) {
        return slots.stream()
                .filter(s -> s.artifact().equals(artifact) && s.server().equals(server))
                .findFirst();
    }

    /** Returns the slots of an artifact. */
    public List<Slot> slotsOf(ArtifactId artifact) {
        return slots.stream().filter(slot -> slot.artifact().equals(artifact)).toList();
    }

    /** Returns the slots on a server. */
    public List<Slot> slotsOn(ServerId server) {
        return slots.stream().filter(slot -> slot.server().equals(server)).toList();
    }

    /** Finds the standby slot that covers an artifact. */
    public Optional<StandbySlot> standbyOf(ArtifactId artifact) {
        return standbySlots.stream().filter(s -> s.artifacts().contains(artifact)).findFirst();
    }

    /** Returns the servers on which the artifact may be loaded by what is decided. */
    public Set<ServerId> decidedServers(ArtifactId artifact) {
        return Stream.concat(
                        slotsOf(artifact).stream().map(Slot::server),
                        standbyOf(artifact).stream().map(StandbySlot::server))
                .collect(Collectors.toSet());
    }

    /** Returns the memory of a server that is not reserved, bytes; 0 for an unknown server. */
    public long freeBytes(ServerId server) {
        return server(server).map(entry -> entry.memoryBytes() - usedBytes(server)).orElse(0L);
    }

    /** Returns the memory of a server that slots and standby slots reserve, bytes. */
    public long usedBytes(ServerId server) {
        long used = 0;
        for (Slot slot : slots) {
            used += slot.server().equals(server) ? slot.memoryBytes() : 0;
        }
        for (StandbySlot standby : standbySlots) {
            used += standby.server().equals(server) ? standby.memoryBytes() : 0;
        }
        return used;
    }

    /** Tells whether adapters on a server need this slot as their base model. */
    public boolean isBaseOfAdapters(Slot slot) {
        return slots.stream()
                .anyMatch(
                        other ->
                                other.server().equals(slot.server())
                                        && other.baseModel().equals(Optional.of(slot.artifact())));
    }

    /** Returns a copy in which a server has the given entry. */
    public CapacityRecord withServer(ServerEntry entry) {
        List<ServerEntry> changed = without(servers, e -> e.server().equals(entry.server()));
        changed.add(entry);
        require(changed.size() <= MAXIMUM_SERVERS, "more than 128 servers in group " + group);
        require(
                entry.memoryBytes() >= usedBytes(entry.server()),
                "server " + entry.server() + " has less memory than is reserved on it");
        return new CapacityRecord(
                formatVersion, group, revision, changed, slots, standbySlots, lastOperations);
    }

    /** Returns a copy without a server that has left, its slots and its standby slots. */
    public CapacityRecord withoutServer(ServerId server) {
        return new CapacityRecord(
                formatVersion,
                group,
                revision,
                without(servers, e -> e.server().equals(server)),
                without(slots, s -> s.server().equals(server)),
                without(standbySlots, s -> s.server().equals(server)),
                lastOperations);
    }

    /** Returns a copy with a new slot; checks I1 against the given maximum, and I2. */
    public CapacityRecord withNewSlot(Slot slot, int maximumReplicas) {
        require(slot(slot.artifact(), slot.server()).isEmpty(), "slot exists: " + slot.key());
        require(
                slot.baseModel().isEmpty() || hasBaseModel(slot),
                "base model of " + slot.key() + " is not decided on the same server");
        List<Slot> changed = new ArrayList<>(slots);
        changed.add(slot);
        return withSlots(changed)
                .requireReplicas(slot.artifact(), maximumReplicas)
                .requireMemory(slot.server());
    }

    /** Returns a copy in which a present slot is replaced; its memory does not change. */
    public CapacityRecord withChangedSlot(Slot slot) {
        Slot before = slot(slot.artifact(), slot.server()).orElse(null);
        require(before != null, "no such slot: " + slot.key());
        require(before.memoryBytes() == slot.memoryBytes(), "memory changed: " + slot.key());
        require(
                slot.state().isLoadingOrReady() || !isBaseOfAdapters(slot),
                "adapters need " + slot.key() + "; unload them first");
        return withSlots(slots.stream().map(s -> s.equals(before) ? slot : s).toList());
    }

    /** Returns a copy without a slot, whose memory is thereby free. */
    public CapacityRecord withoutSlot(Slot.Key key) {
        return withSlots(without(slots, s -> s.key().equals(key)));
    }

    /** Returns a copy with a new standby slot; checks I2 and that it covers nothing twice. */
    public CapacityRecord withNewStandby(StandbySlot standby) {
        require(
                standby.artifacts().stream().allMatch(a -> standbyOf(a).isEmpty()),
                "an artifact is covered by two standby slots");
        List<StandbySlot> changed = new ArrayList<>(standbySlots);
        changed.add(standby);
        return withStandbySlots(changed).requireMemory(standby.server());
    }

    /** Returns a copy without a standby slot. */
    public CapacityRecord withoutStandby(StandbySlot standby) {
        return withStandbySlots(without(standbySlots, s -> s.equals(standby)));
    }

    /** Returns a copy in which a standby slot is replaced; checks as for a new one. */
    public CapacityRecord withChangedStandby(StandbySlot before, StandbySlot after) {
        require(standbySlots.contains(before), "no such standby slot: " + before);
        return withoutStandby(before).withNewStandby(after);
    }

    /** Returns a copy as written by one process with the given operation and revision. */
    public CapacityRecord withWrite(ProcessId process, OperationId operation, long newRevision) {
        require(newRevision > revision, "the revision must grow");
        Map<ProcessId, OperationId> operations = new HashMap<>(lastOperations);
        operations.put(process, operation);
        return new CapacityRecord(
                formatVersion, group, newRevision, servers, slots, standbySlots, operations);
    }

    /** Returns a copy without the last operations of processes that are gone. */
    public CapacityRecord withoutOperationsOf(Set<ProcessId> stopped) {
        Map<ProcessId, OperationId> operations = new HashMap<>(lastOperations);
        operations.keySet().removeAll(stopped);
        return new CapacityRecord(
                formatVersion, group, revision, servers, slots, standbySlots, operations);
    }

    /** Lists the servers on which more memory is reserved than they have. */
    public List<ServerId> overcommittedServers() {
        return servers.stream()
                .filter(entry -> usedBytes(entry.server()) > entry.memoryBytes())
                .map(ServerEntry::server)
                .toList();
    }

    /**
     * Lists the artifacts that have two slots on one server or are covered by two standby slots.
     */
    public List<ArtifactId> artifactsDecidedTwice() {
        Set<Slot.Key> keys = new HashSet<>();
        Set<ArtifactId> covered = new HashSet<>();
        return Stream.concat(
                        slots.stream().filter(s -> !keys.add(s.key())).map(Slot::artifact),
                        standbySlots.stream()
                                .flatMap(s -> s.artifacts().stream())
                                .filter(a -> !covered.add(a)))
                .toList();
    }

    private boolean hasBaseModel(Slot adapter) {
        return adapter.baseModel()
                .flatMap(base -> slot(base, adapter.server()))
                .filter(base -> base.state().isLoadingOrReady())
                .isPresent();
    }

    private CapacityRecord requireReplicas(ArtifactId artifact, int maximum) {
        int decided = decidedServers(artifact).size();
        require(
                decided <= maximum,
                artifact + " would be decided on " + decided + " servers, maximum " + maximum);
        return this;
    }

    private CapacityRecord requireMemory(ServerId server) {
        require(
                server(server).isPresent() && freeBytes(server) >= 0,
                "server " + server + " has no room; unload something first");
        return this;
    }

    private CapacityRecord withSlots(List<Slot> changed) {
        return new CapacityRecord(
                formatVersion, group, revision, servers, changed, standbySlots, lastOperations);
    }

    private CapacityRecord withStandbySlots(List<StandbySlot> changed) {
        return new CapacityRecord(
                formatVersion, group, revision, servers, slots, changed, lastOperations);
    }

    private static <T> List<T> without(List<T> all, Predicate<T> removed) {
        return all.stream()
                .filter(removed.negate())
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private static void require(boolean holds, String fault) {
        if (!holds) {
            throw new IllegalStateException("capacity record: " + fault);
        }
    }
}
