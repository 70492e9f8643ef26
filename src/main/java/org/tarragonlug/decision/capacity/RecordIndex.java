package org.tarragonlug.decision.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/**
 * Look-ups in one capacity record. Building it costs one pass; without it, each pass over the slots
 * of a large group would cost the square of their number.
 */
final class RecordIndex {
    private final Map<Slot.Key, Slot> slots = new HashMap<>();
    private final Map<ArtifactId, List<Slot>> slotsByArtifact = new HashMap<>();
    private final Map<ServerId, List<Slot>> slotsByServer = new HashMap<>();
    private final Map<ArtifactId, StandbySlot> standbyByArtifact = new HashMap<>();
    private final Map<ServerId, Long> freeBytesByServer = new HashMap<>();
    private final Set<Slot.Key> baseModels = new HashSet<>();

    RecordIndex(CapacityRecord record) {
        record.servers().forEach(entry -> freeBytesByServer.put(entry.server(), entry.memoryBytes()));
        for (Slot slot : record.slots()) {
            slots.put(slot.key(), slot);
            slotsByArtifact.computeIfAbsent(slot.artifact(), a -> new ArrayList<>()).add(slot);
            slotsByServer.computeIfAbsent(slot.server(), s -> new ArrayList<>()).add(slot);
            freeBytesByServer.merge(slot.server(), -slot.memoryBytes(), Long::sum);
            slot.baseModel().ifPresent(base -> baseModels.add(new Slot.Key(base, slot.server())));
        }
        for (StandbySlot each : record.standbySlots()) {
            each.artifacts().forEach(artifact -> standbyByArtifact.put(artifact, each));
            freeBytesByServer.merge(each.server(), -each.memoryBytes(), Long::sum);
        }
    }

    Optional<Slot> slot(ArtifactId artifact, ServerId server) {
        return Optional.ofNullable(slots.get(new Slot.Key(artifact, server)));
    }

    List<Slot> slotsOf(ArtifactId artifact) {
        return slotsByArtifact.getOrDefault(artifact, List.of());
    }

    List<Slot> slotsOn(ServerId server) {
        return slotsByServer.getOrDefault(server, List.of());
    }

    Optional<StandbySlot> standbyOf(ArtifactId artifact) {
        return Optional.ofNullable(standbyByArtifact.get(artifact));
    }

    Set<ServerId> decidedServers(ArtifactId artifact) {
        Set<ServerId> decided = new HashSet<>();
        slotsOf(artifact).forEach(slot -> decided.add(slot.server()));
        standbyOf(artifact).ifPresent(s -> decided.add(s.server()));
        return decided;
    }

    boolean isDecided(ArtifactId artifact, ServerId server) {
        return slots.containsKey(new Slot.Key(artifact, server))
                || standbyOf(artifact).filter(s -> s.server().equals(server)).isPresent();
    }

    long freeBytes(ServerId server) {
        return freeBytesByServer.getOrDefault(server, 0L);
    }

    boolean isBaseOfAdapters(Slot slot) {
        return baseModels.contains(slot.key());
    }
}
