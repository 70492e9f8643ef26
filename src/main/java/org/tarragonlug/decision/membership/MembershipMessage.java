package org.tarragonlug.decision.membership;

import java.util.List;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/** What members send each other. Every message carries member changes and the version in force. */
public sealed interface MembershipMessage {
    /** Returns the changes that travel with the message. */
    List<MemberUpdate> updates();

    /** Returns the version of the configuration in force at the sender. */
    ConfigurationVersion configuration();

    /**
     * Asks the receiver for a {@link ProbeAcknowledgement}.
     *
     * @param sequence chosen by the sender, returned in the answer
     * @param configuration version in force at the sender
     * @param updates member changes; the first is the sender's own claim
     */
    record Probe(long sequence, ConfigurationVersion configuration, List<MemberUpdate> updates)
            implements MembershipMessage {
        public Probe {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Says that a member answered a probe.
     *
     * @param sequence of the probe
     * @param subject the member that answered: the sender itself, or the target of an indirect
     *     probe
     * @param configuration version in force at the sender
     * @param updates member changes; the first is the sender's own claim
     */
    record ProbeAcknowledgement(
            long sequence,
            InstanceId subject,
            ConfigurationVersion configuration,
            List<MemberUpdate> updates)
            implements MembershipMessage {
        public ProbeAcknowledgement {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Asks the receiver to probe a target and to pass on its acknowledgement.
     *
     * @param sequence of the probe that got no answer
     * @param target the member to probe
     * @param configuration version in force at the sender
     * @param updates member changes; the first is the sender's own claim
     */
    record IndirectProbe(
            long sequence,
            InstanceId target,
            ConfigurationVersion configuration,
            List<MemberUpdate> updates)
            implements MembershipMessage {
        public IndirectProbe {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Spreads new member changes or a new version between two probes; needs no answer.
     *
     * @param configuration version in force at the sender
     * @param updates member changes; the first is the sender's own claim
     */
    record Gossip(ConfigurationVersion configuration, List<MemberUpdate> updates)
            implements MembershipMessage {
        public Gossip {
            updates = List.copyOf(updates);
        }
    }
}
