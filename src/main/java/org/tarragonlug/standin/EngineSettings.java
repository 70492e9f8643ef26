package org.tarragonlug.standin;

import java.time.Duration;
import org.tarragonlug.id.ServerId;

/**
 * Settings of an engine stand-in; times are nominal.
 *
 * @param server the server it runs on
 * @param memoryBytes accelerator memory, bytes
 * @param fencing whether it checks fencing numbers
 * @param batchSize most requests that generate at once
 * @param queueLimit most requests that wait for the batch
 * @param tokenInterval time between tokens of a single request
 * @param intervalPerRequest longer interval for each further request in the batch
 * @param prefill time to the first token without a cached prefix
 * @param memoryLoad time to load a model from the memory of the host
 * @param diskLoad time to load a model from local disk
 * @param crashMarker a request whose text contains this crashes the process
 */
public record EngineSettings(
        ServerId server,
        long memoryBytes,
        EngineFencing fencing,
        int batchSize,
        int queueLimit,
        Duration tokenInterval,
        Duration intervalPerRequest,
        Duration prefill,
        Duration memoryLoad,
        Duration diskLoad,
        String crashMarker) {
    /** The marker of {@link #defaults}. */
    public static final String CRASH_MARKER = "CRASH-THE-ENGINE";

    /** Returns settings with the usual times. */
    public static EngineSettings defaults(ServerId server, long memoryBytes, EngineFencing fencing) {
        return new EngineSettings(
                server,
                memoryBytes,
                fencing,
                16,
                64,
                Duration.ofMillis(15),
                Duration.ofMillis(1),
                Duration.ofMillis(80),
                Duration.ofMillis(400),
                Duration.ofMillis(2500),
                CRASH_MARKER);
    }
}
