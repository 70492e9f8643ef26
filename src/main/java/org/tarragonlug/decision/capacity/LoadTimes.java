package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.tarragonlug.decision.configuration.ArtifactLimit;

/**
 * Expected load times by cache tier and artifact size, learnt from observed loads.
 *
 * <p>Each estimate is a start value (a fixed time plus the size over a rate) times a learnt factor.
 * One factor exists per tier and power of two of the size; a size that was never seen uses the
 * factor of its tier. Factors are exponentially decayed means: an observation has the weight
 * {@value #NEWEST_WEIGHT}, and more while there are few.
 *
 * <p>Adapters are kept apart from models. They load in 5 to 10 ms (docs/design.md, section 1.1),
 * which no rate fitted to models predicts.
 */
public final class LoadTimes {
    private static final double NEWEST_WEIGHT = 0.2;
    private static final double INITIAL_ADAPTER_SECONDS = 0.0075;
    private static final double NANOS_PER_SECOND = 1e9;

    private static final Map<CacheTier, InitialEstimate> INITIAL_MODEL_ESTIMATES =
            new EnumMap<>(
                    Map.of(
                            CacheTier.MEMORY, new InitialEstimate(2, 10e9),
                            CacheTier.DISK, new InitialEstimate(4, 2e9),
                            CacheTier.REMOTE, new InitialEstimate(6, 0.8e9)));

    private final Map<CacheTier, TierFactors> models = new EnumMap<>(CacheTier.class);
    private final Map<CacheTier, TierFactors> adapters = new EnumMap<>(CacheTier.class);

    /** Creates estimates that hold only the start values. */
    public LoadTimes() {
        for (CacheTier tier : CacheTier.values()) {
            models.put(tier, new TierFactors());
            adapters.put(tier, new TierFactors());
        }
    }

    /**
     * Learns from a load that succeeded.
     *
     * @param artifact what was loaded
     * @param tier where its checkpoint was cached when the load began
     * @param duration time from the order to the confirmation
     */
    public void recordLoad(ArtifactLimit artifact, CacheTier tier, Duration duration) {
        double factor = seconds(duration) / initialSeconds(artifact, tier);
        estimates(artifact, tier).add(sizeClass(artifact.memoryBytes()), factor);
    }

    /**
     * Returns the expected time to load an artifact.
     *
     * @param artifact what to load
     * @param tier where its checkpoint is cached
     * @return the expected time, not counting waiting for a turn at the weight store
     */
    public Duration expected(ArtifactLimit artifact, CacheTier tier) {
        double factor = estimates(artifact, tier).factor(sizeClass(artifact.memoryBytes()));
        return Duration.ofNanos((long) (factor * initialSeconds(artifact, tier) * NANOS_PER_SECOND));
    }

    /**
     * Tells whether any load from a tier was observed. Before that an estimate is too uncertain to
     * refuse a request by it.
     */
    public boolean hasObservations(ArtifactLimit artifact, CacheTier tier) {
        return estimates(artifact, tier).all.observations > 1;
    }

    private TierFactors estimates(ArtifactLimit artifact, CacheTier tier) {
        return (artifact.isAdapter() ? adapters : models).get(tier);
    }

    private static double initialSeconds(ArtifactLimit artifact, CacheTier tier) {
        if (artifact.isAdapter()) {
            return INITIAL_ADAPTER_SECONDS;
        }
        return INITIAL_MODEL_ESTIMATES.get(tier).seconds(artifact.memoryBytes());
    }

    private static int sizeClass(long bytes) {
        return Long.SIZE - Long.numberOfLeadingZeros(bytes);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }

    private record InitialEstimate(double fixedSeconds, double bytesPerSecond) {
        double seconds(long bytes) {
            return fixedSeconds + bytes / bytesPerSecond;
        }
    }

    /** The learnt factors of one tier. */
    private static final class TierFactors {
        private final DecayedMean all = new DecayedMean();
        private final DecayedMean[] bySize = new DecayedMean[Long.SIZE + 1];

        void add(int sizeClass, double factor) {
            all.add(factor);
            if (bySize[sizeClass] == null) {
                bySize[sizeClass] = new DecayedMean();
            }
            bySize[sizeClass].add(factor);
        }

        double factor(int sizeClass) {
            return bySize[sizeClass] == null ? all.value : bySize[sizeClass].value;
        }
    }

    /** A mean whose start value counts as one observation. */
    private static final class DecayedMean {
        private double value = 1;
        private int observations = 1;

        void add(double newest) {
            observations = Math.min(observations + 1, Integer.MAX_VALUE - 1);
            double weight = Math.max(NEWEST_WEIGHT, 1.0 / observations);
            value += weight * (newest - value);
        }
    }
}
