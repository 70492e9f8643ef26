package org.tarragonlug.decision.ownership;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Random;

/**
 * Decides at random when the store goes away and from which copy it returns. Some returns are
 * followed by a second one, from the same copy or another. Has random numbers of its own, so that a
 * simulation without drills does not depend on it.
 */
final class StoreDrills {
    /**
     * One absence of the store.
     *
     * @param away how long the store is away
     * @param copy the copy from which it returns
     */
    record Drill(Duration away, SimulatedLeaseStore.Copy copy) {}

    /** Mean numbers of steps between two absences, one of which a simulation has. */
    private static final int[] INTERVALS = {500, 1500, 3000};

    private final Random random;
    private final SimulatedLeaseStore store;
    private final int interval;
    private Instant lastReturn = Instant.EPOCH;
    private SimulatedLeaseStore.Copy lastCopy;

    /** When a second absence begins; null if none is due. */
    private Instant repetitionAt;

    StoreDrills(long seed, SimulatedLeaseStore store) {
        this.random = new Random(~seed);
        this.store = store;
        this.interval = INTERVALS[random.nextInt(INTERVALS.length)];
    }

    /** Returns when the last absence ends. */
    Instant lastReturn() {
        return lastReturn;
    }

    /** Returns whether the store is away and closes connections. */
    boolean isAway(Instant now) {
        return now.isBefore(lastReturn);
    }

    /** Returns an absence that begins in this step; empty if none does. */
    Optional<Drill> step(Instant now) {
        if (!store.era().isStated() || isAway(now)) {
            return Optional.empty();
        }
        boolean repeats = repetitionAt != null && !now.isBefore(repetitionAt);
        if (!repeats && random.nextInt(interval) != 0) {
            return Optional.empty();
        }
        boolean fromSameCopy = repeats && random.nextBoolean();
        if (!fromSameCopy) {
            lastCopy = store.copyOf(now.minusMillis(500 + random.nextInt(9500)));
        }
        return Optional.of(begin(now));
    }

    /** Begins an absence from which the store returns with a copy of a certain age. */
    Drill begin(Instant now, Duration age) {
        lastCopy = store.copyOf(now.minus(age));
        return begin(now);
    }

    private Drill begin(Instant now) {
        Duration away = Duration.ofMillis(random.nextInt(1500));
        lastReturn = now.plus(away);
        boolean repeated = repetitionAt == null && random.nextInt(3) == 0;
        repetitionAt = repeated ? lastReturn.plusMillis(200 + random.nextInt(4800)) : null;
        return new Drill(away, lastCopy);
    }

    /** Returns how long after a return an instance learns of it from another call. */
    Duration learnDelay() {
        return Duration.ofMillis(random.nextInt(2000));
    }

    /** Returns how long an answer waits in the instance after its era was checked. */
    Duration queueDelay() {
        return Duration.ofMillis(random.nextInt(20));
    }
}
