package org.tarragonlug.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.decision.capacity.OrderOutcome;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.ConfigurationDelta;
import org.tarragonlug.decision.membership.MembershipMessage;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/** A message between processes of this system (docs/design.md, section 5.4). */
public sealed interface PeerMessage {
    /** The format version written by this release. */
    int FORMAT_VERSION = 1;

    /** Returns the format version of the sender. */
    int formatVersion();

    /** Wraps a message of the failure detector. */
    static PeerMessage of(MembershipMessage message) {
        if (message instanceof MembershipMessage.Probe probe) {
            return new Probe(FORMAT_VERSION, probe);
        }
        if (message instanceof MembershipMessage.ProbeAcknowledgement acknowledgement) {
            return new ProbeAcknowledgement(FORMAT_VERSION, acknowledgement);
        }
        if (message instanceof MembershipMessage.IndirectProbe indirect) {
            return new IndirectProbe(FORMAT_VERSION, indirect);
        }
        return new Gossip(FORMAT_VERSION, (MembershipMessage.Gossip) message);
    }

    /** A message of the failure detector. */
    sealed interface Membership extends PeerMessage {
        /** Returns what the failure detector receives. */
        MembershipMessage content();
    }

    /** See {@link MembershipMessage.Probe}. */
    record Probe(int formatVersion, MembershipMessage.Probe content) implements Membership {}

    /** See {@link MembershipMessage.ProbeAcknowledgement}. */
    record ProbeAcknowledgement(int formatVersion, MembershipMessage.ProbeAcknowledgement content)
            implements Membership {}

    /** See {@link MembershipMessage.IndirectProbe}. */
    record IndirectProbe(int formatVersion, MembershipMessage.IndirectProbe content)
            implements Membership {}

    /** See {@link MembershipMessage.Gossip}. */
    record Gossip(int formatVersion, MembershipMessage.Gossip content) implements Membership {}

    /**
     * Demand of an entry instance, sent to the decider of the group.
     *
     * @param formatVersion of the sender
     * @param group the server group
     * @param demands by artifact; only artifacts with waiting requests or new arrivals
     */
    record DemandReport(int formatVersion, ServerGroup group, List<Demand> demands)
            implements PeerMessage {
        public DemandReport {
            demands = List.copyOf(demands);
        }
    }

    /**
     * Replicas that became ready or ceased to be, sent by the decider.
     *
     * @param formatVersion of the sender
     * @param group the server group
     * @param revision of the capacity record
     * @param changes the replicas
     */
    record ReplicasChanged(
            int formatVersion, ServerGroup group, long revision, List<ReplicaChange> changes)
            implements PeerMessage {
        public ReplicasChanged {
            changes = List.copyOf(changes);
        }
    }

    /**
     * One replica.
     *
     * @param artifact what is loaded
     * @param server where
     * @param ready whether it serves requests now
     */
    record ReplicaChange(ArtifactId artifact, ServerId server, boolean ready) {}

    /**
     * A decider asks a ticket's owner for a turn at the weight store.
     *
     * @param formatVersion of the sender
     * @param turn identifies the request; repeated requests keep it
     * @param ticket name of the ticket
     * @param deadline earliest deadline of the requests that wait for the load
     * @param prewarming whether nobody waits for it
     */
    record LoadTurnRequest(
            int formatVersion,
            OperationId turn,
            String ticket,
            Instant deadline,
            boolean prewarming)
            implements PeerMessage {}

    /**
     * A ticket's owner grants a turn.
     *
     * @param formatVersion of the sender
     * @param turn the request
     * @param ticket name of the ticket
     * @param expiresAfter from receipt; the turn must be returned until then
     */
    record LoadTurnGrant(int formatVersion, OperationId turn, String ticket, Duration expiresAfter)
            implements PeerMessage {}

    /**
     * A decider returns a turn, used or not.
     *
     * @param formatVersion of the sender
     * @param turn the request
     * @param ticket name of the ticket
     * @param outcome how the load ended
     * @param loadTime how long it took; zero if there was none
     */
    record LoadTurnReturn(
            int formatVersion,
            OperationId turn,
            String ticket,
            OrderOutcome outcome,
            Duration loadTime)
            implements PeerMessage {}

    /**
     * Asks for what is newer than a version.
     *
     * @param formatVersion of the sender
     * @param have the version in force at the sender
     * @param whole whether the whole configuration is wanted
     */
    record ConfigurationRequest(int formatVersion, ConfigurationVersion have, boolean whole)
            implements PeerMessage {}

    /**
     * Changed rows.
     *
     * @param formatVersion of the sender
     * @param delta the rows
     */
    record ConfigurationRows(int formatVersion, ConfigurationDelta delta) implements PeerMessage {}

    /**
     * A whole configuration.
     *
     * @param formatVersion of the sender
     * @param configuration the configuration
     * @param digest of its content
     */
    record ConfigurationWhole(int formatVersion, Configuration configuration, long digest)
            implements PeerMessage {}

    /**
     * Requests that were in progress on a lost server; one message for each loss.
     *
     * @param formatVersion of the sender
     * @param server the lost server
     * @param incarnation of its engine when it was lost
     * @param fingerprints the suspects
     */
    record SuspectsAnnounced(
            int formatVersion, ServerId server, String incarnation, List<Fingerprint> fingerprints)
            implements PeerMessage {
        public SuspectsAnnounced {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /**
     * A request was condemned and must be refused everywhere.
     *
     * @param formatVersion of the sender
     * @param fingerprint the request
     * @param reason one line for operators
     */
    record FingerprintCondemned(int formatVersion, Fingerprint fingerprint, String reason)
            implements PeerMessage {}

    /**
     * A stopping instance hands an owned item to the next owner, so that it need not wait for the
     * member view.
     *
     * @param formatVersion of the sender
     * @param item the text key of the item
     * @param revision of the item's stored object, the least that the new owner must read
     */
    record DecisionHandover(int formatVersion, String item, long revision) implements PeerMessage {}
}
