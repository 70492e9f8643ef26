package org.tarragonlug.decision.configuration;

import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** An input of a {@link ConfigurationSynchronizer}. */
public sealed interface SynchronizerEvent {
    /**
     * The accepted configuration was read from the object API, or the acceptor of this process
     * wrote it. A configuration that was read may be stale.
     *
     * @param configuration the stored configuration
     */
    record StoredConfigurationRead(Configuration configuration) implements SynchronizerEvent {}

    /**
     * A peer reported the version that it has in force.
     *
     * @param peer the peer
     * @param version the version in force at the peer
     */
    record PeerVersionReceived(InstanceId peer, ConfigurationVersion version)
            implements SynchronizerEvent {}

    /**
     * A peer sent a delta.
     *
     * @param peer the peer
     * @param delta the delta
     */
    record DeltaReceived(InstanceId peer, ConfigurationDelta delta) implements SynchronizerEvent {}

    /**
     * A peer sent the complete configuration.
     *
     * @param peer the peer
     * @param configuration the configuration
     * @param digest {@link ConfigurationDigest} of the configuration, computed by the peer
     */
    record CompleteConfigurationReceived(InstanceId peer, Configuration configuration, long digest)
            implements SynchronizerEvent {}

    /**
     * A peer requests a configuration newer than its own.
     *
     * @param peer the peer
     * @param installedVersion the version in force at the peer
     * @param completeRequested whether the peer requests the complete configuration instead of a
     *     delta
     */
    record RequestReceived(
            InstanceId peer, ConfigurationVersion installedVersion, boolean completeRequested)
            implements SynchronizerEvent {}

    /** Time passed; expected every 100 ms. */
    record Tick() implements SynchronizerEvent {}
}
