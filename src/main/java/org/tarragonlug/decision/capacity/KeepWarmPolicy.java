package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.id.ArtifactId;

/**
 * Decides how long an idle artifact stays loaded, and when an artifact is loaded before there is
 * demand for it.
 */
public interface KeepWarmPolicy {
    /**
     * Records the arrival of requests.
     *
     * @param artifact the requested artifact
     * @param count number of requests that arrived together
     * @param now the time of arrival
     */
    void recordArrivals(ArtifactId artifact, int count, Instant now);

    /**
     * Returns how long an artifact without requests should stay loaded, counted from its last
     * request.
     *
     * @param artifact the idle artifact
     * @param coldStart expected time to load it again
     * @param coldStartWeight cost of one second of cold-start wait, in idle accelerator seconds
     * @param now the present time
     * @return the duration, zero or more
     */
    Duration keepFor(ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now);

    /**
     * Tells whether an artifact that is not loaded should be loaded before a request arrives.
     *
     * @param artifact the artifact
     * @param coldStart expected time to load it
     * @param coldStartWeight cost of one second of cold-start wait, in idle accelerator seconds
     * @param now the present time
     * @return true if the load should start now
     */
    boolean shouldPrewarm(
            ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now);

    /**
     * Returns the weighted cold-start wait per second that is expected to be saved by keeping an
     * artifact loaded. It is used to choose the artifacts to unload under memory pressure.
     *
     * @param artifact the idle artifact
     * @param coldStart expected time to load it again
     * @param coldStartWeight cost of one second of cold-start wait, in idle accelerator seconds
     * @param now the present time
     * @return the benefit, zero or more; a larger benefit is more worth keeping
     */
    double expectedBenefit(
            ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now);
}
