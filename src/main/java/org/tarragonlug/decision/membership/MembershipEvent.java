package org.tarragonlug.decision.membership;

import java.util.List;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** An input of a {@link FailureDetector}. */
public sealed interface MembershipEvent {
    /** Time passed; expected every {@link DetectorSettings#tick()}. */
    record Tick() implements MembershipEvent {}

    /**
     * The settings or the instance list supplied the instances that may run members.
     *
     * @param candidates all candidates; may include the instance of this process
     */
    record CandidatesListed(List<Candidate> candidates) implements MembershipEvent {
        public CandidatesListed {
            candidates = List.copyOf(candidates);
        }
    }

    /**
     * A message from another member arrived.
     *
     * @param from the sender, as identified by its connection
     * @param message the message
     */
    record MessageReceived(InstanceId from, MembershipMessage message) implements MembershipEvent {}

    /**
     * This process installed a configuration.
     *
     * @param version the version now in force
     */
    record ConfigurationInstalled(ConfigurationVersion version) implements MembershipEvent {}

    /** This process begins to stop; the detector announces that the member leaves. */
    record Leaving() implements MembershipEvent {}
}
