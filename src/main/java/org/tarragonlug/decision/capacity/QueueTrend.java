package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.ArtifactId;

/**
 * Tells whether the ready replicas of an artifact keep up with its queue. They fall behind if the
 * queue is no shorter at the end of a time window than at its start.
 */
final class QueueTrend {
    private static final Duration WINDOW = Duration.ofSeconds(5);

    private record QueueSample(Instant at, int waiting) {}

    private final Map<ArtifactId, QueueSample> samples = new HashMap<>();
    private final Map<ArtifactId, Instant> fallingBehindSince = new HashMap<>();

    /**
     * Updates the trend with the current queue and tells whether the replicas fall behind. The
     * trend is reset unless {@code allReady} is true, because a replica that is still loading does
     * not serve yet.
     */
    boolean isFallingBehind(
            ArtifactId artifact, GroupView.TotalDemand demand, boolean allReady, Instant now) {
        if (demand.waiting() == 0 || !allReady) {
            samples.remove(artifact);
            fallingBehindSince.remove(artifact);
            return false;
        }
        QueueSample sample =
                samples.computeIfAbsent(artifact, a -> new QueueSample(now, demand.waiting()));
        if (!sample.at().plus(WINDOW).isAfter(now)) {
            if (demand.waiting() >= sample.waiting()) {
                fallingBehindSince.put(artifact, now);
            } else {
                fallingBehindSince.remove(artifact);
            }
            samples.put(artifact, new QueueSample(now, demand.waiting()));
        }
        return fallingBehindSince.containsKey(artifact);
    }
}
