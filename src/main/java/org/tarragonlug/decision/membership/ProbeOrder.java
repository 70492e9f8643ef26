package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    private final Map<InstanceId, Long> hashes = new HashMap<>();
    private List<InstanceId> circle = List.of();
    private int ownPosition;

    ProbeOrder(InstanceId self, Hasher hasher, Duration period) {
        this.self = self;
        this.hasher = hasher;
        this.periodMillis = period.toMillis();
    }

    /** Sets the members of the circle. */
    void members(List<InstanceId> others) {
        List<InstanceId> ordered = new ArrayList<>(others);
        ordered.add(self);
        ordered.sort(
                Comparator.comparingLong(
                                (InstanceId id) ->
                                        hashes.computeIfAbsent(id, key -> hasher.hash(key.value())))
                        .thenComparing(Comparator.naturalOrder()));
        circle = ordered;
        ownPosition = ordered.indexOf(self);
    }

    /** Returns the number of the period that a time lies in. */
    long period(Instant now) {
        return Math.floorDiv(now.toEpochMilli(), periodMillis);
    }

    /** Returns whom to probe in a period; empty without other members. */
    Optional<InstanceId> target(long period) {
        int others = circle.size() - 1;
        if (others < 1) {
            return Optional.empty();
        }
        int distance = 1 + (int) Long.remainderUnsigned(Ownership.mix(period), others);
        return Optional.of(circle.get((ownPosition + distance) % circle.size()));
    }
}
