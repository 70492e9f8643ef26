package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.ArtifactId;

/**
 * Tells whether the ready replicas of an artifact keep up with its queue. A queue that is no
 * shorter after a window is not served in time.
 */
final class QueueTrend {
    private static final Duration WINDOW = Duration.ofSeconds(5);

    private record Mark(Instant at, int waiting) {}

    private final Map<ArtifactId, Mark> marks = new HashMap<>();
    private final Map<ArtifactId, Instant> shortSince = new HashMap<>();

    /** Updates with the present queue; {@code settled} says that no replica is being loaded. */
    boolean isShort(ArtifactId artifact, GroupView.Wanted wanted, boolean settled, Instant now) {
        if (wanted.waiting() == 0 || !settled) {
            marks.remove(artifact);
            shortSince.remove(artifact);
            return false;
        }
        Mark mark = marks.computeIfAbsent(artifact, a -> new Mark(now, wanted.waiting()));
        if (!mark.at().plus(WINDOW).isAfter(now)) {
            if (wanted.waiting() >= mark.waiting()) {
                shortSince.put(artifact, now);
            } else {
                shortSince.remove(artifact);
            }
            marks.put(artifact, new Mark(now, wanted.waiting()));
        }
        return shortSince.containsKey(artifact);
    }
}
