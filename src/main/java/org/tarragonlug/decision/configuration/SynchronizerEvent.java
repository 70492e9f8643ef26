package org.tarragonlug.decision.configuration;

import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** What a configuration holder learns. */
public sealed interface SynchronizerEvent {
    /**
     * The accepted configuration was read from the object API, or the own acceptor wrote it. The
     * read may be stale.
     *
     * @param configuration what was read
     */
    record StoredConfigurationRead(Configuration configuration) implements SynchronizerEvent {}

    /**
     * A peer said which version it has.
     *
     * @param peer the peer
     * @param version its version
     */
    record PeerVersionReceived(InstanceId peer, ConfigurationVersion version) implements SynchronizerEvent {}

    /**
     * A peer sent changed rows.
     *
     * @param peer the peer
     * @param delta the rows
     */
    record DeltaReceived(InstanceId peer, ConfigurationDelta delta) implements SynchronizerEvent {}

    /**
     * A peer sent a whole configuration.
     *
     * @param peer the peer
     * @param configuration the configuration
     * @param digest {@link ConfigurationDigest} of it, computed by the peer
     */
    record CompleteConfigurationReceived(InstanceId peer, Configuration configuration, long digest)
            implements SynchronizerEvent {}

    /**
     * A peer asks for what is newer than its version.
     *
     * @param peer the peer
     * @param installedVersion the version it has
     * @param completeRequested whether it wants the whole configuration in place of changed rows
     */
    record RequestReceived(InstanceId peer, ConfigurationVersion installedVersion, boolean completeRequested)
            implements SynchronizerEvent {}

    /** Time passed; expected every 100 ms. */
    record Tick() implements SynchronizerEvent {}
}
