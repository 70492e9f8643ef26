package org.tarragonlug.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.decision.quarantine.ServerLoss;
import org.tarragonlug.decision.quarantine.TraitAge;
import org.tarragonlug.decision.quota.AllowanceNotice;
import org.tarragonlug.decision.quota.AllowanceRequest;
import org.tarragonlug.decision.watching.WatchCandidate;
import org.tarragonlug.decision.watching.WatchSource;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/** A message between gateways (docs/platform.md, section 4). */
public sealed interface GatewayMessage extends PeerMessage {
    /**
     * The demand for models at one instance, sent to the holder of the order lease.
     *
     * @param formatVersion format version of the sender
     * @param demands demand for each model that has waiting requests or arrivals since the last
     *     report
     * @param inFlight requests that the sender has in flight, by server
     * @param answerPaces how long answers since the last report to the planner took, by server, in
     *     percent of the usual time; empty if the sender's release does not write this field
     * @param statedPaces paces that differ from the usual one and were stated to the sender a
     *     moment ago, by server, in percent; empty if the sender's release does not write this
     *     field
     * @param candidate what the sender offers as a source for watches; empty if its release does
     *     not write this field
     * @param quota request for allowance, if the receiver is the sender's lender; empty if no
     *     account has a quota
     */
    record ModelDemandReport(
            int formatVersion,
            List<ModelDemand> demands,
            Map<ServerId, Integer> inFlight,
            List<ServerId> unreachable,
            Map<ServerId, Integer> answerPaces,
            Map<ServerId, Integer> statedPaces,
            Optional<WatchCandidate> candidate,
            Optional<AllowanceRequest> quota)
            implements GatewayMessage {
        public ModelDemandReport {
            answerPaces = Map.copyOf(answerPaces);
            statedPaces = Map.copyOf(statedPaces);
            demands = List.copyOf(demands);
            inFlight = Map.copyOf(inFlight);
            unreachable = List.copyOf(unreachable);
        }

        /** Creates a report without paces and without a request for allowance. */
        public ModelDemandReport(
                int formatVersion,
                List<ModelDemand> demands,
                Map<ServerId, Integer> inFlight,
                List<ServerId> unreachable,
                Optional<WatchCandidate> candidate) {
            this(
                    formatVersion,
                    demands,
                    inFlight,
                    unreachable,
                    Map.of(),
                    Map.of(),
                    candidate,
                    Optional.empty());
        }
    }

    /**
     * The notice of a holder of order leases to an instance that has reported demand.
     *
     * <p>The planner sends most notices because of a single model. Those that follow a notice with
     * its whole state within a moment leave out the leases, the requests in flight, the suspected
     * servers and the watch sources, which are most of a notice's bytes. A planner holds a lease,
     * so a notice without any lease is one of these.
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
     * @param learntPaces learnt paces that differ from the usual one, by server, in percent; only
     *     from the planner
     * @param statedPaces paces stated to any instance that differ from the usual one, weighted by
     *     their age, by server, in percent; only from the planner
     * @param watchSources instances through which the receiver should watch the store; only from
     *     the planner
     * @param quota answer to the receiver's request for allowance; empty if there was none
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
            Map<ServerId, Integer> learntPaces,
            Map<ServerId, Integer> statedPaces,
            List<WatchSource> watchSources,
            Optional<AllowanceNotice> quota)
            implements GatewayMessage {
        public PlacementNotice {
            learntPaces = Map.copyOf(learntPaces);
            statedPaces = Map.copyOf(statedPaces);
            suspected = List.copyOf(suspected);
            watchSources = List.copyOf(watchSources);
            inFlight = Map.copyOf(inFlight);
            leases = List.copyOf(leases);
            replicas = List.copyOf(replicas);
            expectations = List.copyOf(expectations);
        }

        /** Creates a notice without paces that answers no request for allowance. */
        public PlacementNotice(
                int formatVersion,
                List<LeaseStatus> leases,
                boolean planning,
                int reporters,
                List<ReplicaChange> replicas,
                List<ReadinessEstimate> expectations,
                Map<ServerId, Integer> inFlight,
                List<ServerId> suspected,
                List<WatchSource> watchSources) {
            this(
                    formatVersion,
                    leases,
                    planning,
                    reporters,
                    replicas,
                    expectations,
                    inFlight,
                    suspected,
                    Map.of(),
                    Map.of(),
                    watchSources,
                    Optional.empty());
        }

        /** Tells whether the notice states more than changes of replicas and expected times. */
        public boolean hasState() {
            return !leases.isEmpty();
        }
    }

    /**
     * A request for allowance between two reports, because requests wait for it.
     *
     * @param formatVersion format version of the sender
     * @param quota the request
     */
    record QuotaCall(int formatVersion, AllowanceRequest quota) implements GatewayMessage {}

    /**
     * The answer to an {@link QuotaCall}.
     *
     * @param formatVersion format version of the sender
     * @param quota the grants
     */
    record QuotaGrant(int formatVersion, AllowanceNotice quota) implements GatewayMessage {}

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
     * @param era era of the store to which the version belongs, for a read or list the era that the
     *     sender knows; 0 if it knows none or its release does not write this field
     */
    record ObjectCall(
            int formatVersion,
            long call,
            ObjectOperation operation,
            String objectKind,
            String objectName,
            long version,
            Optional<String> content,
            Duration longestWait,
            long era)
            implements GatewayMessage {
        /** Returns the era that the sender states. */
        public StoreEra statedEra() {
            return new StoreEra(era);
        }
    }

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
     * @param era era of the store in which it gave the answer; 0 if the call failed, if the store
     *     states no era, or if the sender's release does not write this field
     */
    record ObjectCallAnswer(
            int formatVersion,
            long call,
            String error,
            List<RelayedObject> objects,
            long revision,
            boolean gap,
            long era)
            implements GatewayMessage {
        public ObjectCallAnswer {
            objects = List.copyOf(objects);
        }

        /** Returns the era in which the store gave the answer. */
        public StoreEra statedEra() {
            return new StoreEra(era);
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
     * @param era era of the store in which the revision was given out; 0 if the store states none
     *     or the sender's release does not write this field
     */
    record LeaseStatus(OrderGroup group, boolean holding, long revision, String holder, long era) {
        public LeaseStatus {
            holder = holder == null ? "" : holder;
        }

        /** Creates the status of a lease that was last renewed at a position in the store. */
        public LeaseStatus(
                OrderGroup group, boolean holding, StorePosition renewedAt, String holder) {
            this(group, holding, renewedAt.revision(), holder, renewedAt.era().value());
        }

        /** Returns the position in the store of the last renewal by the holder. */
        public StorePosition renewedAt() {
            return new StorePosition(new StoreEra(era), revision);
        }
    }

    /**
     * A request of the planner to the holder of an order lease to give an order to a server.
     *
     * @param formatVersion format version of the sender
     * @param call number of the call, chosen by the sender and repeated in the answer
     * @param group order group of the server
     * @param server the server
     * @param startedMillis start time of the server process that the order is meant for; 0 if the
     *     sender does not state it
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
            long startedMillis,
            String address,
            OrderAction action,
            ModelKey key,
            long precondition)
            implements GatewayMessage {}

    /**
     * The answer to an {@link OrderCall}.
     *
     * @param formatVersion format version of the sender
     * @param call number of the call that is answered
     * @param result result of the order
     */
    record OrderCallAnswer(int formatVersion, long call, OrderResult result)
            implements GatewayMessage {}

    /**
     * The losses of servers that an instance has noticed, with its requests there.
     *
     * @param formatVersion format version of the sender
     * @param losses the losses
     */
    record ServerLossReport(int formatVersion, List<ServerLoss> losses) implements GatewayMessage {
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
    record AnswerReport(int formatVersion, List<TraitAge> answers) implements GatewayMessage {
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
            implements GatewayMessage {
        public QuarantineNotice {
            quarantined = List.copyOf(quarantined);
            watched = List.copyOf(watched);
        }
    }
}
