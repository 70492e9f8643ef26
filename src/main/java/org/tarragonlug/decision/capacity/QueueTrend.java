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

    private record QueueSample(Instant at, int waiting) {}

    private final Map<ArtifactId, QueueSample> samples = new HashMap<>();
    private final Map<ArtifactId, Instant> fallingBehindSince = new HashMap<>();

    /** Updates with the present queue; {@code settled} says that no replica is being loaded. */
    boolean isFallingBehind(ArtifactId artifact, GroupView.TotalDemand wanted, boolean allReady, Instant now) {
        if (wanted.waiting() == 0 || !allReady) {
            samples.remove(artifact);
            fallingBehindSince.remove(artifact);
            return false;
        }
        QueueSample sample = samples.computeIfAbsent(artifact, a -> new QueueSample(now, wanted.waiting()));
        if (!sample.at().plus(WINDOW).isAfter(now)) {
            if (wanted.waiting() >= sample.waiting()) {
                fallingBehindSince.put(artifact, now);
            } else {
                fallingBehindSince.remove(artifact);
            }
            samples.put(artifact, new QueueSample(now, wanted.waiting()));
        }
        return fallingBehindSince.containsKey(artifact);
    }
}
