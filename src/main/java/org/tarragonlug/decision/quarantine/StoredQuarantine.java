package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.RequestTrait;

/**
 * The stored quarantine as this instance read it last, and when to write it.
 *
 * <p>A store that comes back from an older copy has a record from before, or none. What was read
 * before then is newer than the copy's record, and remains in force until a record is written in
 * the new era. The deciding instance writes one, whatever the copy's record holds.
 *
 * <p>A write whose outcome stays unknown is tried again after a pause, which doubles each time, so
 * that a store that is down gets few calls.
 */
final class StoredQuarantine {
    private static final Duration FIRST_PAUSE = Duration.ofSeconds(1);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(10);

    private Set<RequestTrait> traits = Set.of();

    /** Whether the record was read in the present era of the store. */
    private boolean known;

    /** Whether the record was read in any era. */
    private boolean everKnown;

    /** Whether a record was read before the store last came back from an older copy. */
    private boolean knownBeforeRestore;

    /** Whether the record that was read last is of the present era. */
    private boolean confirmed;

    private Duration pause = FIRST_PAUSE;
    private Instant nextWriteAt = Instant.EPOCH;

    /** Returns the stored traits; empty until the store was read. */
    Set<RequestTrait> traits() {
        return traits;
    }

    /** Records what the store holds, after a read or a write of this instance. */
    void onRead(Set<RequestTrait> read) {
        traits = read;
        confirmed = true;
        onKnown();
    }

    /**
     * Records what the store holds from before its present era.
     *
     * @param newer whether it was written after all that this instance has read
     * @return whether it counts
     */
    boolean onEarlierRead(Set<RequestTrait> read, boolean newer) {
        boolean counts = newer || !everKnown;
        if (counts) {
            traits = read;
        }
        confirmed = false;
        onKnown();
        return counts;
    }

    /** Records that the store runs from an older copy. Nothing is written before it was read. */
    void onStoreRestored() {
        known = false;
        knownBeforeRestore = everKnown;
    }

    private void onKnown() {
        known = true;
        everKnown = true;
        pause = FIRST_PAUSE;
        nextWriteAt = Instant.EPOCH;
    }

    /**
     * Returns what to write now, if the store is known to hold something else than wanted.
     *
     * @param confirms whether a record of an earlier era is replaced in any case. An instance that
     *     knows the copy's record alone does not do so: others may know more, and would forget it.
     */
    Optional<Set<RequestTrait>> write(Set<RequestTrait> wanted, boolean confirms, Instant now) {
        boolean unconfirmed = confirms && !confirmed && knownBeforeRestore;
        boolean outdated = unconfirmed || !wanted.equals(traits);
        if (!known || now.isBefore(nextWriteAt) || !outdated) {
            return Optional.empty();
        }
        nextWriteAt = now.plus(pause);
        Duration doubled = pause.multipliedBy(2);
        pause = doubled.compareTo(MAX_PAUSE) < 0 ? doubled : MAX_PAUSE;
        return Optional.of(wanted);
    }
}
