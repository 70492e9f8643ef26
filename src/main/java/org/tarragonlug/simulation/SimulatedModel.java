package org.tarragonlug.simulation;

import java.time.Duration;
import org.tarragonlug.decision.forwarding.ModelSpecification;

/**
 * A model of a simulated deployment.
 *
 * @param name name of the model
 * @param megabytes size of the weights
 * @param pace time for a token, as a multiple of the time that the largest model needs
 * @param adapters number of adapters
 * @param diskMegabytesPerMilli megabytes that a server reads from its disk in a millisecond
 */
record SimulatedModel(
        String name, double megabytes, double pace, int adapters, double diskMegabytesPerMilli) {
    private static final double ADAPTER_MEGABYTES = 60;
    private static final Duration MEMORY_LOAD_TIME = Duration.ofMillis(400);

    ModelSpecification specification(Duration remoteLoadTime) {
        Duration diskLoadTime = Duration.ofMillis((long) (megabytes / diskMegabytesPerMilli));
        return new ModelSpecification(
                name,
                megabytes,
                remoteLoadTime,
                MEMORY_LOAD_TIME,
                diskLoadTime,
                adapters,
                ADAPTER_MEGABYTES);
    }
}
