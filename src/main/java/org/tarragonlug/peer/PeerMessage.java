package org.tarragonlug.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
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
import org.tarragonlug.decision.quarantine.ServerLoss;
import org.tarragonlug.decision.quarantine.TraitAge;
import org.tarragonlug.decision.watching.WatchCandidate;
import org.tarragonlug.decision.watching.WatchSource;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** A message between processes of this system (docs/design.md, section 5.4). */
public sealed interface PeerMessage {
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

    /**
     * The demand for models at one instance, sent to the holder of the order lease.
     *
     * @param formatVersion format version of the sender
     * @param demands demand for each model that has waiting requests or arrivals since the last
     *     report
     * @param inFlight requests that the sender has in flight, by server
     * @param candidate what the sender offers as a source for watches; empty if its release does
     *     not write this field
     */
    record ModelDemandReport(
            int formatVersion,
            List<ModelDemand> demands,
            Map<ServerId, Integer> inFlight,
            List<ServerId> unreachable,
            Optional<WatchCandidate> candidate)
            implements PeerMessage {
        public ModelDemandReport {
            demands = List.copyOf(demands);
            inFlight = Map.copyOf(inFlight);
            unreachable = List.copyOf(unreachable);
        }
    }

    /**
     * The notice of a holder of order leases to an instance that has reported demand.
     *
     * @param formatVersion format version of the sender
     * @param leases the leases that the sender holds or held last, and leases whose state it knows
     *     from their holders
     * @param planning whether the sender is the planner; false if the sender's release does not
     *     write this field
     * @param reporters number of instances that report to the sender
     * @param replicas changes of replicas that the listings of their servers may not show yet
     * @param expectations estimates of when the models that requests wait for will be ready
     * @param inFlight requests that all instances together have in flight; only from the planner
     * @param suspected servers that several instances cannot reach; only from the planner
     * @param watchSources instances through which the receiver should watch the store; only from
     *     the planner
     */
    record PlacementNotice(
            int formatVersion,
            List<LeaseStatus> leases,
            boolean planning,
            int reporters,
            List<ReplicaChange> replicas,
            List<ReadinessEstimate> expectations,
            Map<ServerId, Integer> inFlight,
            List<ServerId> suspected,
            List<WatchSource> watchSources)
            implements PeerMessage {
        public PlacementNotice {
            suspected = List.copyOf(suspected);
            watchSources = List.copyOf(watchSources);
            inFlight = Map.copyOf(inFlight);
            leases = List.copyOf(leases);
            replicas = List.copyOf(replicas);
            expectations = List.copyOf(expectations);
        }
    }

    /**
     * A model that was loaded on a server or unloaded from it.
     *
     * @param server the server
     * @param key the model
     * @param held whether the model is loaded on the server now
     */
    record ReplicaChange(ServerId server, ModelKey key, boolean held) {}

    /**
     * The estimated time until a model is ready.
     *
     * @param service the service
     * @param key the model
     * @param remaining time from receipt until the model is ready
     */
    record ReadinessEstimate(ServiceName service, ModelKey key, Duration remaining) {}

    /**
     * A request to a peer to make a call to the object API, because the sender cannot reach it.
     *
     * @param formatVersion format version of the sender
     * @param call number of the call, chosen by the sender and repeated in the answer
     * @param operation the operation of the call
     * @param objectKind kind of the object or objects
     * @param objectName name of the object; empty for a list or watch
     * @param version expected version for a write, or the revision after which a watch starts
     * @param content content for a write; empty for other operations
     * @param longestWait longest wait of a watch
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

    /** Operations of the object API that peers make for each other. */
    enum ObjectOperation {
        /** Reads one object. */
        READ,
        /** Writes one object if it has the expected version. */
        WRITE,
        /** Lists the objects of a kind. */
        LIST,
        /** Waits for changes to the objects of a kind. */
        WATCH,
        /** Waits for changes of which the receiver knows, without a call to the object API. */
        SHARED_WATCH
    }

    /**
     * The answer to an {@link ObjectCall}.
     *
     * @param formatVersion format version of the sender
     * @param call number of the call that is answered
     * @param error name of the error; empty if the call succeeded
     * @param objects the objects that were read, or the written object without its content
     * @param revision revision from which to continue after a list or watch
     * @param gap whether changes may be missing from the answer to a watch
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
     * An object of the object API in an {@link ObjectCallAnswer}.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @param version version of the object; 0 if it does not exist
     * @param content JSON text of the object; empty if it has none
     */
    record RelayedObject(String kind, String name, long version, String content) {}

    /**
     * The status of an order lease, as known to the sender.
     *
     * @param group the order group of servers that the lease covers
     * @param holding whether the holder may give orders
     * @param revision revision of the last renewal by the holder
     * @param holder the holder of the lease; empty if the lease is or was held by the sender
     */
    record LeaseStatus(OrderGroup group, boolean holding, long revision, String holder) {
        public LeaseStatus {
            holder = holder == null ? "" : holder;
        }
    }

    /**
     * A request of the planner to the holder of an order lease to give an order to a server.
     *
     * @param formatVersion format version of the sender
     * @param call number of the call, chosen by the sender and repeated in the answer
     * @param group order group of the server
     * @param server the server
     * @param address address of the server
     * @param action whether to load or to unload
     * @param key the model or adapter
     * @param precondition number of orders that the server must have accepted before this one
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
     * @param formatVersion format version of the sender
     * @param call number of the call that is answered
     * @param result result of the order
     */
    record OrderCallAnswer(int formatVersion, long call, OrderResult result)
            implements PeerMessage {}

    /**
     * The losses of servers that an instance has noticed, with its requests there.
     *
     * @param formatVersion format version of the sender
     * @param losses the losses
     */
    record ServerLossReport(int formatVersion, List<ServerLoss> losses) implements PeerMessage {
        public ServerLossReport {
            losses = List.copyOf(losses);
        }
    }

    /**
     * Tells that servers have begun to answer requests with traits that are suspected of crashing
     * servers.
     *
     * @param formatVersion format version of the sender
     * @param answers the traits, with the time since the answer began
     */
    record AnswerReport(int formatVersion, List<TraitAge> answers) implements PeerMessage {
        public AnswerReport {
            answers = List.copyOf(answers);
        }
    }

    /**
     * The decisions of the planner on requests that crash servers.
     *
     * @param formatVersion format version of the sender
     * @param quarantined traits of requests that must not reach servers
     * @param watched traits whose answers the receiver reports, with the time since the first loss
     */
    record QuarantineNotice(
            int formatVersion, List<RequestTrait> quarantined, List<TraitAge> watched)
            implements PeerMessage {
        public QuarantineNotice {
            quarantined = List.copyOf(quarantined);
            watched = List.copyOf(watched);
        }
    }
}
