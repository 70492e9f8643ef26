package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.id.ArtifactId;

/** Decides how long an idle artifact stays loaded and when it is loaded before it is wanted. */
public interface KeepWarmPolicy {
    /**
     * Records an arrival.
     *
     * @param artifact what was wanted
     * @param count requests that arrived together
     * @param now when
     */
    void recordArrivals(ArtifactId artifact, int count, Instant now);

    /**
     * Returns how long an artifact without requests stays loaded, counted from its last request.
     *
     * @param artifact the idle artifact
     * @param coldStart expected time to load it again
     * @param coldStartWeight idle accelerator seconds that one second of cold-start wait is worth
     * @param now the present time
     * @return zero or more
     */
    Duration keepFor(ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now);

    /**
     * Tells whether an artifact that is not loaded should be loaded before a request arrives.
     *
     * @param artifact the artifact
     * @param coldStart expected time to load it
     * @param coldStartWeight idle accelerator seconds that one second of cold-start wait is worth
     * @param now the present time
     * @return whether to load it now
     */
    boolean shouldPrewarm(ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now);

    /**
     * Returns the expected cold-start wait saved by keeping an artifact loaded, weighted, per
     * second; used to choose what to unload under memory pressure.
     *
     * @param artifact the idle artifact
     * @param coldStart expected time to load it again
     * @param coldStartWeight idle accelerator seconds that one second of cold-start wait is worth
     * @param now the present time
     * @return zero or more; larger is more valuable
     */
    double expectedBenefit(
            ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now);
}
