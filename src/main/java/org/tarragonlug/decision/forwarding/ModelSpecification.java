package org.tarragonlug.decision.forwarding;

import java.time.Duration;

/**
 * What the configuration says about one model.
 *
 * @param name its name
 * @param weightsMegabytes size of its weights
 * @param remoteLoadTime time to load it from the weight store
 * @param memoryLoadTime time to load it from a copy in the server's main memory
 * @param diskLoadTime time to load it from a copy on the server's disk
 * @param adapters how many adapters it has
 * @param adapterMegabytes size of one adapter
 */
public record ModelSpecification(
        String name,
        double weightsMegabytes,
        Duration remoteLoadTime,
        Duration memoryLoadTime,
        Duration diskLoadTime,
        int adapters,
        double adapterMegabytes) {}
