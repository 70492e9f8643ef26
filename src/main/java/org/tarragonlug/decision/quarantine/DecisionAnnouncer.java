package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tarragonlug.id.RequestTrait;

/**
 * Decides when the deciding instance announces what is quarantined and watched: at once when there
 * is something new, and periodically while there is anything, because announcements may be lost.
 */
final class DecisionAnnouncer {
    /** Period of announcements while a trait is watched or quarantined. */
    static final Duration PERIOD = Duration.ofSeconds(2);

    /** Time between two announcements at the least. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(100);

    private Set<RequestTrait> lastQuarantined = Set.of();
    private Set<RequestTrait> lastWatched = Set.of();
    private Instant lastAt = Instant.EPOCH;

    /**
     * Returns the announcement that is due now, if any.
     *
     * @param quarantined the traits whose requests must not reach servers
     * @param watched traits whose answers instances should report
     */
    Optional<QuarantineCommand.AnnounceDecisions> announce(
            Set<RequestTrait> quarantined, List<TraitAge> watched, Instant now) {
        Set<RequestTrait> watchedTraits =
                watched.stream().map(TraitAge::trait).collect(Collectors.toSet());
        boolean hasNews =
                !quarantined.equals(lastQuarantined) || !lastWatched.containsAll(watchedTraits);
        boolean empty = quarantined.isEmpty() && watched.isEmpty();
        Duration elapsed = Duration.between(lastAt, now);
        boolean due =
                hasNews && elapsed.compareTo(MIN_PAUSE) >= 0
                        || !empty && elapsed.compareTo(PERIOD) >= 0;
        if (!due) {
            return Optional.empty();
        }
        lastQuarantined = quarantined;
        lastWatched = watchedTraits;
        lastAt = now;
        return Optional.of(new QuarantineCommand.AnnounceDecisions(quarantined, watched));
    }
}
