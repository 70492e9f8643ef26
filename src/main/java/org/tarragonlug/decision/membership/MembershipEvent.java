package org.tarragonlug.decision.membership;

import java.util.List;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** What a failure detector learns. */
public sealed interface MembershipEvent {
    /** Time passed; expected every {@link DetectorSettings#tick()}. */
    record Tick() implements MembershipEvent {}

    /**
     * Settings or the instance list named the instances that may run members.
     *
     * @param candidates all of them; the own instance may be among them
     */
    record CandidatesListed(List<Candidate> candidates) implements MembershipEvent {
        public CandidatesListed {
            candidates = List.copyOf(candidates);
        }
    }

    /**
     * A message of another member arrived.
     *
     * @param from the sender, as its connection identified it
     * @param message the message
     */
    record MessageReceived(InstanceId from, MembershipMessage message) implements MembershipEvent {}

    /**
     * The own process installed a configuration.
     *
     * @param version the version now in force here
     */
    record ConfigurationInstalled(ConfigurationVersion version) implements MembershipEvent {}

    /** The own process begins to stop; the detector announces that it leaves. */
    record Leaving() implements MembershipEvent {}
}
