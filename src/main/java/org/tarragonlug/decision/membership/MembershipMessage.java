package org.tarragonlug.decision.membership;

import java.util.List;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/**
 * A message between members. Every message carries member updates and the version of the
 * configuration in force at the sender.
 */
public sealed interface MembershipMessage {
    /** Returns the member updates that the message carries. */
    List<MemberUpdate> updates();

    /** Returns the version of the configuration in force at the sender. */
    ConfigurationVersion configuration();

    /**
     * Requests a {@link ProbeAcknowledgement} from the receiver.
     *
     * @param sequence number chosen by the sender; the acknowledgement repeats it
     * @param configuration version in force at the sender
     * @param updates member updates; the first is the sender's own claim
     */
    record Probe(long sequence, ConfigurationVersion configuration, List<MemberUpdate> updates)
            implements MembershipMessage {
        public Probe {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Confirms that a member answered a probe.
     *
     * @param sequence number of the probe
     * @param subject the member that answered: the sender itself, or the target of an indirect
     *     probe
     * @param configuration version in force at the sender
     * @param updates member updates; the first is the sender's own claim
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
     * Asks the receiver to probe a target and to forward the acknowledgement of the target.
     *
     * @param sequence number of the probe that was not acknowledged
     * @param target the member to probe
     * @param configuration version in force at the sender
     * @param updates member updates; the first is the sender's own claim
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
     * Disseminates new member updates or a new configuration version between two probes, or
     * transfers known claims to a new member. Needs no answer.
     *
     * @param configuration version in force at the sender
     * @param updates member updates; empty if only the configuration version is new
     */
    record Gossip(ConfigurationVersion configuration, List<MemberUpdate> updates)
            implements MembershipMessage {
        public Gossip {
            updates = List.copyOf(updates);
        }
    }
}
