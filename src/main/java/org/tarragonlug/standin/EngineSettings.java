package org.tarragonlug.standin;

import java.time.Duration;
import org.tarragonlug.id.ServerId;

/**
 * Settings of an engine stand-in. Times are nominal; {@link StandInClock} scales them to real time.
 *
 * @param server the server that the engine runs on
 * @param memoryBytes accelerator memory in bytes
 * @param fencing whether the engine checks fencing tokens
 * @param batchSize maximum number of requests that generate at the same time
 * @param queueLimit maximum number of requests that wait for the batch
 * @param tokenInterval time between tokens when a single request runs
 * @param intervalPerRequest time added to the token interval for each further request in the batch
 * @param prefill time to the first token without a cached prefix
 * @param memoryLoad time to load a model from host memory
 * @param diskLoad time to load a model from the local disk
 * @param crashMarker a request whose prompt contains this text crashes the engine process
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
    /** The crash marker in {@link #defaults}. */
    public static final String CRASH_MARKER = "CRASH-THE-ENGINE";

    /** Returns settings with the default times and limits and {@link #CRASH_MARKER}. */
    public static EngineSettings defaults(
            ServerId server, long memoryBytes, EngineFencing fencing) {
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
