package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.RequestTrait;

/**
 * The stored quarantine as this instance read it last, and when to write it.
 *
 * <p>A write whose outcome stays unknown is tried again after a pause, which doubles each time, so
 * that a store that is down gets few calls.
 */
final class StoredQuarantine {
    private static final Duration FIRST_PAUSE = Duration.ofSeconds(1);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(10);

    private Set<RequestTrait> traits = Set.of();
    private boolean known;
    private Duration pause = FIRST_PAUSE;
    private Instant nextWriteAt = Instant.EPOCH;

    /** Returns the stored traits; empty until the store was read. */
    Set<RequestTrait> traits() {
        return traits;
    }

    /** Records what the store holds, after a read or a write of this instance. */
    void onRead(Set<RequestTrait> read) {
        traits = read;
        known = true;
        pause = FIRST_PAUSE;
        nextWriteAt = Instant.EPOCH;
    }

    /** Returns what to write now, if the store is known to hold something else than wanted. */
    Optional<Set<RequestTrait>> write(Set<RequestTrait> wanted, Instant now) {
        if (!known || now.isBefore(nextWriteAt) || wanted.equals(traits)) {
            return Optional.empty();
        }
        nextWriteAt = now.plus(pause);
        Duration doubled = pause.multipliedBy(2);
        pause = doubled.compareTo(MAX_PAUSE) < 0 ? doubled : MAX_PAUSE;
        return Optional.of(wanted);
    }
}
