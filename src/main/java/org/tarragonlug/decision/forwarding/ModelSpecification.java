package org.tarragonlug.decision.forwarding;

import java.time.Duration;

/**
 * The configured properties of one model.
 *
 * @param name name of the model
 * @param weightsMegabytes size of the weights
 * @param remoteLoadTime time to load the model from the weight store
 * @param memoryLoadTime time to load the model from a copy in the server's main memory
 * @param diskLoadTime time to load the model from a copy on the server's disk
 * @param adapters number of adapters that the model has
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
