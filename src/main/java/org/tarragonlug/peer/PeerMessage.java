package org.tarragonlug.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.decision.capacity.LoadTicket;
import org.tarragonlug.decision.capacity.LoadTurn;
import org.tarragonlug.decision.capacity.TicketKind;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.ConfigurationDelta;
import org.tarragonlug.decision.membership.MembershipMessage;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

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
     * Replicas of artifacts, sent by the decider to the instances that reported demand for them.
     *
     * @param formatVersion of the sender
     * @param group the server group
     * @param artifacts the artifacts
     */
    record ReplicasChanged(int formatVersion, ServerGroup group, List<ArtifactReplicas> artifacts)
            implements PeerMessage {
        public ReplicasChanged {
            artifacts = List.copyOf(artifacts);
        }
    }

    /**
     * All replicas of one artifact; replaces what was sent before.
     *
     * @param artifact the artifact
     * @param ready servers that hold it and take requests
     * @param loading whether a load is under way
     * @param unavailable whether no replica can be made ready at present
     * @param expectedWait from receipt until a replica is ready, or until asking again helps
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
     * A decider asks a ticket's owner for a turn at the weight store.
     *
     * @param formatVersion of the sender
     * @param turn what it wants
     * @param sequence grows with each request for the same load
     */
    record LoadTurnRequest(int formatVersion, LoadTurn turn, long sequence)
            implements PeerMessage {}

    /**
     * A ticket's owner grants a turn.
     *
     * @param formatVersion of the sender
     * @param operation the load
     * @param ticket the ticket it holds
     * @param hold longest time the load may take, from receipt
     * @param sequence of the latest request that the owner has seen
     */
    record LoadTurnGrant(
            int formatVersion,
            OperationId operation,
            LoadTicket ticket,
            Duration hold,
            long sequence)
            implements PeerMessage {}

    /**
     * The asked instance owns no ticket in use.
     *
     * @param formatVersion of the sender
     * @param operation the load
     * @param ticketsInUse how many tickets of the kind are in use
     */
    record LoadTurnRefused(int formatVersion, OperationId operation, int ticketsInUse)
            implements PeerMessage {}

    /**
     * A decider returns a turn, used or not.
     *
     * @param formatVersion of the sender
     * @param operation the load
     * @param sequence requests up to this one are withdrawn
     */
    record LoadTurnReturn(int formatVersion, OperationId operation, long sequence)
            implements PeerMessage {}

    /**
     * A ticket's owner received a return.
     *
     * @param formatVersion of the sender
     * @param operation the load
     * @param sequence of the return
     */
    record LoadTurnReturnReceived(int formatVersion, OperationId operation, long sequence)
            implements PeerMessage {}

    /**
     * A load took more than twice the usual time.
     *
     * @param formatVersion of the sender
     * @param ticketKind what was loaded
     */
    record LoadWasSlow(int formatVersion, TicketKind ticketKind) implements PeerMessage {}

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

    /**
     * Demand for models at one instance, sent to the holder of the order lease.
     *
     * @param formatVersion of the sender
     * @param demands models with arrivals since the last report or with waiting requests
     */
    record ModelDemandReport(int formatVersion, List<ModelDemand> demands) implements PeerMessage {
        public ModelDemandReport {
            demands = List.copyOf(demands);
        }
    }

    /**
     * What a holder of order leases tells an instance that reported demand.
     *
     * @param formatVersion of the sender
     * @param leases the leases that the sender holds or held last
     * @param planning whether the sender plans; false from senders that do not say it
     * @param reporters how many instances report to it
     * @param replicas models that servers hold, before their listings show it
     * @param expectations when models that requests wait for will be ready
     */
    record PlacementNotice(
            int formatVersion,
            List<LeaseStatus> leases,
            boolean planning,
            int reporters,
            List<ReplicaChange> replicas,
            List<ReadinessEstimate> expectations)
            implements PeerMessage {
        public PlacementNotice {
            leases = List.copyOf(leases);
            replicas = List.copyOf(replicas);
            expectations = List.copyOf(expectations);
        }
    }

    /**
     * A model that a server holds, or does not hold any more.
     *
     * @param server the server
     * @param key the model
     * @param held whether the server holds it
     */
    record ReplicaChange(ServerId server, ModelKey key, boolean held) {}

    /**
     * When a model will be ready.
     *
     * @param service the service
     * @param key the model
     * @param remaining from receipt until it is ready
     */
    record ReadinessEstimate(ServiceName service, ModelKey key, Duration remaining) {}

    /**
     * Asks a peer to make a call to the object API, because the sender does not reach it.
     *
     * @param formatVersion of the sender
     * @param call chosen by the sender; the answer repeats it
     * @param operation what to do
     * @param objectKind kind of the object or objects
     * @param objectName name of the object; empty for a list or watch
     * @param version expected version of a write, or revision after which to watch
     * @param content what to write; absent otherwise
     * @param longestWait of a watch
     */
    record ObjectCall(
            int formatVersion,
            long call,
            ObjectOperation operation,
            String objectKind,
            String objectName,
            long version,
            Optional<String> content,
            Duration longestWait)
            implements PeerMessage {}

    /** Calls that peers make for each other. */
    enum ObjectOperation {
        /** Reads one object. */
        READ,
        /** Writes one object on a condition. */
        WRITE,
        /** Lists a kind. */
        LIST,
        /** Waits for changes of a kind. */
        WATCH
    }

    /**
     * The answer to an {@link ObjectCall}.
     *
     * @param formatVersion of the sender
     * @param call as in the call
     * @param error name of the error; empty for a success
     * @param objects what was read, or the written object without content
     * @param revision where to continue a list or watch
     * @param gap whether changes may be missing
     */
    record ObjectCallAnswer(
            int formatVersion,
            long call,
            String error,
            List<RelayedObject> objects,
            long revision,
            boolean gap)
            implements PeerMessage {
        public ObjectCallAnswer {
            objects = List.copyOf(objects);
        }
    }

    /**
     * An object of the object API.
     *
     * @param kind its kind
     * @param name its name
     * @param version its version; zero if it does not exist
     * @param content JSON text; empty if there is none
     */
    record RelayedObject(String kind, String name, long version, String content) {}

    /**
     * A lease as its holder sees it.
     *
     * @param group the servers
     * @param holding whether the holder may give orders
     * @param revision revision of the holder's last renewal
     * @param holder who holds it; empty if the sender speaks of its own lease
     */
    record LeaseStatus(OrderGroup group, boolean holding, long revision, String holder) {
        public LeaseStatus {
            holder = holder == null ? "" : holder;
        }
    }

    /**
     * The planner asks the holder of a server's lease to give an order.
     *
     * @param formatVersion of the sender
     * @param call chosen by the sender; the answer repeats it
     * @param group the server's group
     * @param server the server
     * @param address its address
     * @param action what to do
     * @param key the model, or the adapter
     * @param precondition orders that the server must have accepted before
     */
    record OrderCall(
            int formatVersion,
            long call,
            OrderGroup group,
            ServerId server,
            String address,
            OrderAction action,
            ModelKey key,
            long precondition)
            implements PeerMessage {}

    /**
     * The answer to an {@link OrderCall}.
     *
     * @param formatVersion of the sender
     * @param call as in the call
     * @param result what the server answered
     */
    record OrderCallAnswer(int formatVersion, long call, OrderResult result)
            implements PeerMessage {}
}
