package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.decision.capacity.KeepWarmPolicy;
import org.tarragonlug.id.ArtifactId;

/**
 * Baseline policy that unloads a model after a fixed idle time and never prewarms. Under memory
 * pressure, the least recently used model is unloaded first.
 */
final class FixedTimeoutPolicy implements KeepWarmPolicy {
    private static final double MILLIS_PER_SECOND = 1e3;

    private final Duration timeout;
    private final Map<ArtifactId, Instant> lastArrivals = new HashMap<>();

    FixedTimeoutPolicy(Duration timeout) {
        this.timeout = timeout;
    }

    @Override
    public void recordArrivals(ArtifactId artifact, int count, Instant now) {
        lastArrivals.put(artifact, now);
    }

    @Override
    public Duration keepFor(
            ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now) {
        return timeout;
    }

    @Override
    public boolean shouldPrewarm(
            ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now) {
        return false;
    }

    @Override
    public double expectedBenefit(
            ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now) {
        Instant last = lastArrivals.getOrDefault(artifact, Instant.EPOCH);
        return 1 / (1 + Duration.between(last, now).toMillis() / MILLIS_PER_SECOND);
    }
}
