package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.util.List;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** A command that a {@link FailureDetector} asks its caller to execute. */
public sealed interface MembershipCommand {
    /**
     * Sends a message. The message may be lost.
     *
     * @param to the receiving instance
     * @param address peer address of the receiver as {@code host:port}
     * @param message the message
     */
    record Send(InstanceId to, String address, MembershipMessage message)
            implements MembershipCommand {}

    /**
     * Announces a new live view, for which ownership must be recomputed.
     *
     * @param view the live members, including this process
     * @param joined instances that were added to the view
     * @param lost instances that were removed from the view
     */
    record ViewChanged(MemberView view, List<InstanceId> joined, List<InstanceId> lost)
            implements MembershipCommand {
        public ViewChanged {
            joined = List.copyOf(joined);
            lost = List.copyOf(lost);
        }
    }

    /**
     * Reports to the configuration synchronizer that a peer has a newer configuration.
     *
     * @param peer the peer with the newer configuration
     * @param version the version in force at the peer
     */
    record NewerConfigurationDetected(InstanceId peer, ConfigurationVersion version)
            implements MembershipCommand {}

    /**
     * Announces that this process was paused and that the detector abandoned its running probes.
     *
     * @param length time between the last tick before the pause and the first tick after it
     */
    record LocalPauseDetected(Duration length) implements MembershipCommand {}
}
