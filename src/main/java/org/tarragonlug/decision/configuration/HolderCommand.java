package org.tarragonlug.decision.configuration;

import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** What a configuration holder wants done. */
public sealed interface HolderCommand {
    /**
     * Put a configuration in force here, and tell the failure detector its version.
     *
     * @param configuration it; its version is above all earlier ones
     */
    record Install(Configuration configuration) implements HolderCommand {}

    /**
     * Ask a peer for what is newer.
     *
     * @param peer the peer
     * @param have the version in force here
     * @param whole whether the whole configuration is wanted in place of changed rows
     */
    record Request(InstanceId peer, ConfigurationVersion have, boolean whole)
            implements HolderCommand {}

    /**
     * Answer a peer with changed rows.
     *
     * @param peer the peer
     * @param delta the rows
     */
    record SendRows(InstanceId peer, ConfigurationDelta delta) implements HolderCommand {}

    /**
     * Answer a peer with the whole configuration.
     *
     * @param peer the peer
     * @param configuration the configuration
     * @param digest {@link ConfigurationDigest} of it
     */
    record SendWhole(InstanceId peer, Configuration configuration, long digest)
            implements HolderCommand {}
}
