package org.tarragonlug.decision.configuration;

import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** What a configuration holder learns. */
public sealed interface HolderEvent {
    /**
     * The accepted configuration was read from the object API, or the own acceptor wrote it. The
     * read may be stale.
     *
     * @param configuration what was read
     */
    record StoredRead(Configuration configuration) implements HolderEvent {}

    /**
     * A peer said which version it has.
     *
     * @param peer the peer
     * @param version its version
     */
    record PeerVersionSeen(InstanceId peer, ConfigurationVersion version) implements HolderEvent {}

    /**
     * A peer sent changed rows.
     *
     * @param peer the peer
     * @param delta the rows
     */
    record RowsReceived(InstanceId peer, ConfigurationDelta delta) implements HolderEvent {}

    /**
     * A peer sent a whole configuration.
     *
     * @param peer the peer
     * @param configuration the configuration
     * @param digest {@link ConfigurationDigest} of it, computed by the peer
     */
    record WholeReceived(InstanceId peer, Configuration configuration, long digest)
            implements HolderEvent {}

    /**
     * A peer asks for what is newer than its version.
     *
     * @param peer the peer
     * @param have the version it has
     * @param whole whether it wants the whole configuration in place of changed rows
     */
    record RequestReceived(InstanceId peer, ConfigurationVersion have, boolean whole)
            implements HolderEvent {}

    /** Time passed; expected every 100 ms. */
    record Tick() implements HolderEvent {}
}
