package org.tarragonlug.decision.ownership;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/**
 * A store with one lease, which keeps a copy of each of its states and can be restored from any of
 * them. After a restoration it states the next era and gives revisions out again.
 */
final class SimulatedLeaseStore {
    /**
     * A state of the store.
     *
     * @param stored the lease; null if there is none
     * @param revision the last revision that was given out
     */
    record Copy(LeaseRecord stored, long revision) {}

    private static final Copy EMPTY = new Copy(null, 0);

    private final TreeMap<Instant, Copy> copies = new TreeMap<>();
    private Copy present = EMPTY;
    private StoreEra era;

    /**
     * Creates an empty store.
     *
     * @param era the first era; {@link StoreEra#NONE} for a store that states none
     */
    SimulatedLeaseStore(StoreEra era) {
        this.era = era;
    }

    StoreEra era() {
        return era;
    }

    Optional<LeaseRecord> read() {
        return Optional.ofNullable(present.stored());
    }

    /** Writes the lease if the stored revision is the one in the record; empty if it is not. */
    Optional<LeaseRecord> write(LeaseRecord record, Instant now) {
        long expected = read().map(LeaseRecord::revision).orElse(0L);
        if (expected != record.revision()) {
            return Optional.empty();
        }
        long revision = present.revision() + 1;
        present = new Copy(record.at(new StorePosition(era, revision)), revision);
        copies.put(now, present);
        return read();
    }

    /** Returns the state that the store had at a time, in whichever era. */
    Copy copyOf(Instant time) {
        Map.Entry<Instant, Copy> last = copies.floorEntry(time);
        return last == null ? EMPTY : last.getValue();
    }

    /** Continues from a copy, in the next era. */
    void restore(Copy copy, Instant now) {
        era = era.next();
        LeaseRecord stored = copy.stored();
        LeaseRecord moved =
                stored == null ? null : stored.at(new StorePosition(era, stored.revision()));
        present = new Copy(moved, copy.revision());
        copies.put(now, present);
    }
}
