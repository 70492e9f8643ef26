package org.tarragonlug.decision.configuration;

import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** A command that a {@link ConfigurationSynchronizer} asks its caller to execute. */
public sealed interface SynchronizerCommand {
    /**
     * Puts a configuration in force in this process and passes its version to the failure detector.
     *
     * @param configuration the configuration; its version is above all versions installed before
     */
    record Install(Configuration configuration) implements SynchronizerCommand {}

    /**
     * Requests a newer configuration from a peer.
     *
     * @param peer the peer
     * @param installedVersion the version in force in this process
     * @param completeRequested whether to request the complete configuration instead of a delta
     */
    record Request(
            InstanceId peer, ConfigurationVersion installedVersion, boolean completeRequested)
            implements SynchronizerCommand {}

    /**
     * Answers a peer with a delta.
     *
     * @param peer the peer
     * @param delta the delta
     */
    record SendDelta(InstanceId peer, ConfigurationDelta delta) implements SynchronizerCommand {}

    /**
     * Answers a peer with the complete configuration.
     *
     * @param peer the peer
     * @param configuration the configuration
     * @param digest {@link ConfigurationDigest} of the configuration
     */
    record SendCompleteConfiguration(InstanceId peer, Configuration configuration, long digest)
            implements SynchronizerCommand {}
}
