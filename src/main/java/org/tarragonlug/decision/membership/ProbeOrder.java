package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.id.InstanceId;

/**
 * Chooses the member to probe, such that each member is probed about once in each period.
 *
 * <p>With independent random targets, the time until any member probes a given member has an
 * exponential tail: with 410 members and one probe per second, one crashed member in a hundred
 * waits at least 4.6 s for its first probe. This class instead arranges all members in a ring
 * ordered by hash, and in one period every member probes the member at the same pseudo-random
 * distance along the ring. If all views and clocks are equal, the targets form a permutation and
 * each member is probed exactly once. If views or clocks differ, the targets are still distributed
 * as if chosen at random, and only the tail gets longer. The distance changes with each period, so
 * a prober whose path to its target is broken does not get the same target again soon.
 */
final class ProbeOrder {
    private final InstanceId self;
    private final Hasher hasher;
    private final long periodMillis;
    private final Map<InstanceId, RingEntry> ringEntries = new HashMap<>();
    private List<RingEntry> ring = List.of();
    private int ownPosition;

    ProbeOrder(InstanceId self, Hasher hasher, Duration period) {
        this.self = self;
        this.hasher = hasher;
        this.periodMillis = period.toMillis();
    }

    /** Sets the other members of the ring; this process is always part of the ring. */
    void setMembers(List<InstanceId> others) {
        List<RingEntry> ordered = new ArrayList<>();
        others.forEach(id -> ordered.add(ringEntry(id)));
        ordered.add(ringEntry(self));
        ordered.sort(Comparator.comparingLong(RingEntry::hash).thenComparing(RingEntry::id));
        ring = ordered;
        ownPosition = ordered.indexOf(ringEntry(self));
    }

    private RingEntry ringEntry(InstanceId id) {
        return ringEntries.computeIfAbsent(id, key -> new RingEntry(key, hasher.hash(key.value())));
    }

    /** Returns the number of the period that contains a time. */
    long periodNumber(Instant now) {
        return Math.floorDiv(now.toEpochMilli(), periodMillis);
    }

    /** Returns the member to probe in a period; empty if there are no other members. */
    Optional<InstanceId> target(long period) {
        int others = ring.size() - 1;
        if (others < 1) {
            return Optional.empty();
        }
        int distance = 1 + (int) Long.remainderUnsigned(Ownership.mix(period), others);
        return Optional.of(ring.get((ownPosition + distance) % ring.size()).id());
    }

    /**
     * Returns the members to which this process pushes new updates at once: the successor in the
     * ring, which connects all members, and members at pseudo-random points of the ring, which keep
     * paths short. When one member changes, only few members get other neighbours.
     *
     * @param count maximum number of neighbours
     * @param isAlive whether a member may be a neighbour; suspects are skipped
     */
    List<InstanceId> neighbours(int count, Predicate<InstanceId> isAlive) {
        Set<InstanceId> neighbours = new LinkedHashSet<>();
        firstAlive(ownPosition + 1, isAlive).ifPresent(neighbours::add);
        long ownHash = ringEntry(self).hash();
        for (int index = 1; index < 2 * count && neighbours.size() < count; index++) {
            int position = firstAtOrAfter(Ownership.mix(ownHash + index));
            firstAlive(position, isAlive).ifPresent(neighbours::add);
        }
        return List.copyOf(neighbours);
    }

    private Optional<InstanceId> firstAlive(int start, Predicate<InstanceId> isAlive) {
        for (int step = 0; step < ring.size(); step++) {
            InstanceId id = ring.get((start + step) % ring.size()).id();
            if (!id.equals(self) && isAlive.test(id)) {
                return Optional.of(id);
            }
        }
        return Optional.empty();
    }

    private int firstAtOrAfter(long point) {
        int low = 0;
        int high = ring.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (ring.get(middle).hash() < point) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private record RingEntry(InstanceId id, long hash) {}
}
