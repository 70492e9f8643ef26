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
 * Chooses whom to probe, so that each member is probed about once in each period.
 *
 * <p>With independent random targets, the time until anyone probes a given member has an
 * exponential tail: at 410 members and one probe a second, one crash in a hundred waits 4.6 s for
 * its first probe. Here all members stand in a circle ordered by hash, and in one period everybody
 * probes the member at the same pseudo-random distance. With equal views and clocks that is a
 * permutation: each member is probed exactly once. Where views or clocks differ, targets are still
 * spread as if chosen at random, so only the tail gets longer. The distance changes with each
 * period, so a broken pair of members does not meet again soon.
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

    /** Sets the members of the circle. */
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

    /** Returns the number of the period that a time lies in. */
    long periodNumber(Instant now) {
        return Math.floorDiv(now.toEpochMilli(), periodMillis);
    }

    /** Returns whom to probe in a period; empty without other members. */
    Optional<InstanceId> target(long period) {
        int others = ring.size() - 1;
        if (others < 1) {
            return Optional.empty();
        }
        int distance = 1 + (int) Long.remainderUnsigned(Ownership.mix(period), others);
        return Optional.of(ring.get((ownPosition + distance) % ring.size()).id());
    }

    /**
     * Returns the members that get changes from here at once: the successor in the circle, so that
     * all members form a ring, and others at pseudo-random points, so that paths are short. A
     * change of one member changes the neighbours of few.
     *
     * @param count most neighbours
     * @param isAlive tells which members may be neighbours; suspects are passed over
     */
    List<InstanceId> neighbours(int count, Predicate<InstanceId> isAlive) {
        Set<InstanceId> neighbours = new LinkedHashSet<>();
        firstAlive(ownPosition + 1, isAlive).ifPresent(neighbours::add);
        long ownHash = ringEntry(self).hash();
        for (int index = 1; index < 2 * count && neighbours.size() < count; index++) {
            int position = firstAfter(Ownership.mix(ownHash + index));
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

    private int firstAfter(long point) {
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
