package org.tarragonlug.decision.configuration;

import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** What a configuration holder wants done. */
public sealed interface SynchronizerCommand {
    /**
     * Put a configuration in force here, and tell the failure detector its version.
     *
     * @param configuration it; its version is above all earlier ones
     */
    record Install(Configuration configuration) implements SynchronizerCommand {}

    /**
     * Ask a peer for what is newer.
     *
     * @param peer the peer
     * @param installedVersion the version in force here
     * @param completeRequested whether the whole configuration is wanted in place of changed rows
     */
    record Request(InstanceId peer, ConfigurationVersion installedVersion, boolean completeRequested)
            implements SynchronizerCommand {}

    /**
     * Answer a peer with changed rows.
     *
     * @param peer the peer
     * @param delta the rows
     */
    record SendDelta(InstanceId peer, ConfigurationDelta delta) implements SynchronizerCommand {}

    /**
     * Answer a peer with the whole configuration.
     *
     * @param peer the peer
     * @param configuration the configuration
     * @param digest {@link ConfigurationDigest} of it
     */
    record SendCompleteConfiguration(InstanceId peer, Configuration configuration, long digest)
            implements SynchronizerCommand {}
}
