package org.tarragonlug.trial;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * What the load tool sends.
 *
 * @param targets caller addresses of entry instances, used in turn
 * @param model model or adapter, with {@code @version} if it is to be named
 * @param tokens tokens of each answer
 * @param concurrency requests in progress at any time
 * @param warmUp length of the part whose results are dropped
 * @param length length of the measured part
 * @param timeout deadline of each request
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
