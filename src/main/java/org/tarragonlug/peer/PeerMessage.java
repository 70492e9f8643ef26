package org.tarragonlug.peer;

import java.time.Duration;
import java.util.List;
import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.decision.capacity.LoadTicket;
import org.tarragonlug.decision.capacity.LoadTurn;
import org.tarragonlug.decision.capacity.TicketKind;
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
public sealed interface PeerMessage
        permits PeerMessage.Membership,
                PeerMessage.DemandReport,
                PeerMessage.ReplicasChanged,
                PeerMessage.LoadTurnRequest,
                PeerMessage.LoadTurnGrant,
                PeerMessage.LoadTurnRefused,
                PeerMessage.LoadTurnReturn,
                PeerMessage.LoadTurnReturnReceived,
                PeerMessage.LoadWasSlow,
                PeerMessage.ConfigurationRequest,
                PeerMessage.ConfigurationRows,
                PeerMessage.ConfigurationWhole,
                PeerMessage.SuspectsAnnounced,
                PeerMessage.FingerprintCondemned,
                PeerMessage.DecisionHandover,
                GatewayMessage {
    /** The format version that this release writes. */
    int FORMAT_VERSION = 1;

    /** Returns the format version of the sender. */
    int formatVersion();

    /** Wraps a message of the failure detector in a peer message. */
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
        /** Returns the message that is passed to the failure detector. */
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
     * The demand at an entry instance, sent to the decider of a server group.
     *
     * @param formatVersion format version of the sender
     * @param group the server group
     * @param demands demand by artifact; only artifacts with waiting requests or new arrivals
     */
    record DemandReport(int formatVersion, ServerGroup group, List<Demand> demands)
            implements PeerMessage {
        public DemandReport {
            demands = List.copyOf(demands);
        }
    }

    /**
     * The replicas of artifacts, sent by the decider to the instances that reported demand for
     * them.
     *
     * @param formatVersion format version of the sender
     * @param group the server group
     * @param artifacts the replicas of each artifact
     */
    record ReplicasChanged(int formatVersion, ServerGroup group, List<ArtifactReplicas> artifacts)
            implements PeerMessage {
        public ReplicasChanged {
            artifacts = List.copyOf(artifacts);
        }
    }

    /**
     * All replicas of one artifact. Replaces the data of earlier messages on this artifact.
     *
     * @param artifact the artifact
     * @param ready servers on which the artifact is loaded and which accept requests
     * @param loading whether a load of the artifact is in progress
     * @param unavailable whether no replica can be made ready at present
     * @param expectedWait time from receipt until a replica is ready, or after which a new request
     *     may succeed
     */
    record ArtifactReplicas(
            ArtifactId artifact,
            List<ServerId> ready,
            boolean loading,
            boolean unavailable,
            Duration expectedWait) {
        public ArtifactReplicas {
            ready = List.copyOf(ready);
        }
    }

    /**
     * A request of a decider to the owner of a ticket for a turn at the weight store.
     *
     * @param formatVersion format version of the sender
     * @param turn the requested turn
     * @param sequence number that grows with each request for the same load
     */
    record LoadTurnRequest(int formatVersion, LoadTurn turn, long sequence)
            implements PeerMessage {}

    /**
     * The grant of a turn by the owner of a ticket.
     *
     * @param formatVersion format version of the sender
     * @param operation the load
     * @param ticket the ticket that the load occupies
     * @param hold longest time that the load may take, from receipt
     * @param sequence sequence number of the latest request that the owner has received
     */
    record LoadTurnGrant(
            int formatVersion,
            OperationId operation,
            LoadTicket ticket,
            Duration hold,
            long sequence)
            implements PeerMessage {}

    /**
     * The refusal of a turn, because the receiver of the request does not own a ticket that is in
     * use.
     *
     * @param formatVersion format version of the sender
     * @param operation the load
     * @param ticketsInUse number of tickets of the requested kind that are in use
     */
    record LoadTurnRefused(int formatVersion, OperationId operation, int ticketsInUse)
            implements PeerMessage {}

    /**
     * The return of a turn by a decider, whether the turn was used or not.
     *
     * @param formatVersion format version of the sender
     * @param operation the load
     * @param sequence requests up to this sequence number are withdrawn
     */
    record LoadTurnReturn(int formatVersion, OperationId operation, long sequence)
            implements PeerMessage {}

    /**
     * The confirmation of a {@link LoadTurnReturn} by the owner of the ticket.
     *
     * @param formatVersion format version of the sender
     * @param operation the load
     * @param sequence sequence number of the return
     */
    record LoadTurnReturnReceived(int formatVersion, OperationId operation, long sequence)
            implements PeerMessage {}

    /**
     * Tells that a load took more than twice the usual time.
     *
     * @param formatVersion format version of the sender
     * @param ticketKind kind of the artifact that was loaded
     */
    record LoadWasSlow(int formatVersion, TicketKind ticketKind) implements PeerMessage {}

    /**
     * A request for the changes of the configuration since a version.
     *
     * @param formatVersion format version of the sender
     * @param have the version in force at the sender
     * @param whole whether the complete configuration is requested instead of the changed rows
     */
    record ConfigurationRequest(int formatVersion, ConfigurationVersion have, boolean whole)
            implements PeerMessage {}

    /**
     * The changed rows of the configuration between two versions.
     *
     * @param formatVersion format version of the sender
     * @param delta the changed rows
     */
    record ConfigurationRows(int formatVersion, ConfigurationDelta delta) implements PeerMessage {}

    /**
     * A complete configuration.
     *
     * @param formatVersion format version of the sender
     * @param configuration the configuration
     * @param digest digest of the content of the configuration
     */
    record ConfigurationWhole(int formatVersion, Configuration configuration, long digest)
            implements PeerMessage {}

    /**
     * The requests that were in progress on a lost server and may have caused its crash. One
     * message is sent for each loss.
     *
     * @param formatVersion format version of the sender
     * @param server the lost server
     * @param incarnation incarnation of the engine when the server was lost
     * @param fingerprints fingerprints of the suspected requests
     */
    record SuspectsAnnounced(
            int formatVersion, ServerId server, String incarnation, List<Fingerprint> fingerprints)
            implements PeerMessage {
        public SuspectsAnnounced {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /**
     * Tells that a request was quarantined. All instances must refuse it.
     *
     * @param formatVersion format version of the sender
     * @param fingerprint fingerprint of the request
     * @param reason reason of the quarantine for operators, one line
     */
    record FingerprintCondemned(int formatVersion, Fingerprint fingerprint, String reason)
            implements PeerMessage {}

    /**
     * The handover of an owned item from a stopping instance to the next owner, so that the next
     * owner does not have to wait until its member view changes.
     *
     * @param formatVersion format version of the sender
     * @param item text key of the item
     * @param revision lowest revision of the stored object of the item that the new owner must read
     */
    record DecisionHandover(int formatVersion, String item, long revision) implements PeerMessage {}
}
