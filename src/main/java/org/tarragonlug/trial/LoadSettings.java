package org.tarragonlug.trial;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * The requests that a load run sends.
 *
 * @param targets caller addresses of entry instances, used in turn
 * @param model name of the model or adapter, followed by {@code @version} for a specific version
 * @param tokens number of tokens of each answer
 * @param concurrency number of requests in progress at any time
 * @param warmUp length of the first part of the run, which is not measured
 * @param length length of the measured part
 * @param timeout timeout of each request
 */
public record LoadSettings(
        List<InetSocketAddress> targets,
        String model,
        int tokens,
        int concurrency,
        Duration warmUp,
        Duration length,
        Duration timeout) {
    public LoadSettings {
        targets = List.copyOf(targets);
    }
}
