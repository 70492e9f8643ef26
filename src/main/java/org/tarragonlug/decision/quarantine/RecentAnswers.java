package org.tarragonlug.decision.quarantine;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.id.RequestTrait;

/**
 * The traits of requests that servers have begun to answer recently, with the time of the last such
 * answer. The least recent ones are forgotten first.
 */
final class RecentAnswers {
    private static final int MAX_TRAITS = 512;

    private final Map<RequestTrait, Instant> answeredAt =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<RequestTrait, Instant> eldest) {
                    return size() > MAX_TRAITS;
                }
            };

    void record(RequestTrait trait, Instant now) {
        answeredAt.put(trait, now);
    }

    /** Returns when a request with the trait was last answered; empty if that is not known. */
    Optional<Instant> lastAnswer(RequestTrait trait) {
        return Optional.ofNullable(answeredAt.get(trait));
    }
}
