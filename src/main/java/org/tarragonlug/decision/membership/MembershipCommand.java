package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.util.List;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** What a failure detector wants done. */
public sealed interface MembershipCommand {
    /**
     * Send a message; it may get lost.
     *
     * @param to the receiver
     * @param address its peer address as {@code host:port}
     * @param message the message
     */
    record Send(InstanceId to, String address, MembershipMessage message)
            implements MembershipCommand {}

    /**
     * The live view changed: ownership must be computed anew.
     *
     * @param view the live members, the own one included
     * @param joined instances that are new in the view
     * @param lost instances that are no longer in it
     */
    record ViewChanged(MemberView view, List<InstanceId> joined, List<InstanceId> lost)
            implements MembershipCommand {
        public ViewChanged {
            joined = List.copyOf(joined);
            lost = List.copyOf(lost);
        }
    }

    /**
     * A peer has a newer configuration; pass it to the configuration holder.
     *
     * @param peer who has it
     * @param version the version it has
     */
    record NewerConfigurationDetected(InstanceId peer, ConfigurationVersion version)
            implements MembershipCommand {}

    /**
     * The own process did not run for a while; running probes were abandoned.
     *
     * @param length how long it did not run, about
     */
    record LocalPauseDetected(Duration length) implements MembershipCommand {}
}
