package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ReservationId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** An input event of the forwarding coordinator. */
public sealed interface ForwardingEvent {
    /** The head of a request has arrived; its body is not read yet. */
    record RequestHeadArrived(RequestHead head) implements ForwardingEvent {}

    /** A request has arrived completely. */
    record RequestArrived(ForwardRequest request) implements ForwardingEvent {}

    /**
     * Something has happened to one attempt of a request. If that attempt is not under way any
     * more, the event has no effect.
     */
    sealed interface OfAttempt extends ForwardingEvent {
        /** Returns the attempt. */
        ForwardAttempt attempt();
    }

    /**
     * A server has reserved a slot for a request.
     *
     * @param attempt number under which the slot was asked for
     * @param server the server
     * @param address address of the server, {@code host:port}
     * @param reservation the slot
     */
    record SlotReserved(
            ForwardAttempt attempt, ServerId server, String address, ReservationId reservation)
            implements ForwardingEvent {}

    /**
     * A server has reserved no slot for a request.
     *
     * @param attempt number under which the slot was asked for
     * @param refusal the reason
     */
    record SlotNotReserved(ForwardAttempt attempt, SlotRefusal refusal)
            implements ForwardingEvent {}

    /** A server rejected a request without running it. */
    record Rejected(ForwardAttempt attempt, Rejection rejection, Optional<ReportedLoad> load)
            implements OfAttempt {}

    /** The server that has a request has said something about itself with its answer. */
    record ServerNoticed(ForwardAttempt attempt, ServerNotice notice) implements OfAttempt {}

    /** The first bytes of a streamed answer have arrived from the server. */
    record StreamStarted(ForwardAttempt attempt, Optional<ReportedLoad> load)
            implements OfAttempt {}

    /** An event of a streamed answer has been relayed to the caller. */
    record EventRelayed(ForwardAttempt attempt, long eventId) implements OfAttempt {}

    /**
     * A complete answer has arrived.
     *
     * @param attempt the attempt
     * @param status HTTP status of the answer
     * @param load load that the server reported with the answer; empty if it reported none
     */
    record Answered(ForwardAttempt attempt, int status, Optional<ReportedLoad> load)
            implements OfAttempt {}

    /**
     * A complete answer has arrived that must not be passed on, because a caller would read its
     * status as a promise that the request has not run, and the server has not stated that.
     *
     * @param attempt the attempt
     * @param load load that the server reported with the answer; empty if it reported none
     */
    record AnsweredAmbiguously(ForwardAttempt attempt, Optional<ReportedLoad> load)
            implements OfAttempt {}

    /**
     * After the request was sent, its connection broke, timed out or carried an invalid answer.
     *
     * @param attempt the attempt
     * @param progress how much of this server's answer had arrived
     */
    record ConnectionBroken(ForwardAttempt attempt, AnswerProgress progress) implements OfAttempt {}

    /** The caller closed its connection. */
    record CallerDisconnected(long request) implements ForwardingEvent {}

    /** A configuration has come into force. */
    record TableInstalled(ForwardingTable table) implements ForwardingEvent {}

    /**
     * The read of the configuration that was ordered last has ended. A newer configuration has been
     * installed before.
     *
     * @param succeeded whether the store has answered
     */
    record ConfigurationRead(boolean succeeded) implements ForwardingEvent {}

    /** A server was listed, or its listing changed. */
    record ServerListed(ServerListing listing) implements ForwardingEvent {}

    /** A server is no longer listed. */
    record ServerUnlisted(ServerId server) implements ForwardingEvent {}

    /**
     * A planner's notice says that a server has loaded or is unloading a replica, before a listing
     * shows the change.
     *
     * @param server the server
     * @param key the model and adapter
     * @param held whether the server holds the replica
     * @param until time until which the notice overrides the listing
     */
    record ReplicaAnnounced(ServerId server, ModelKey key, boolean held, Instant until)
            implements ForwardingEvent {}

    /**
     * A planner's notice says when a model is expected to be ready.
     *
     * @param service the service
     * @param key the model and adapter
     * @param ready expected time at which the model is loaded
     */
    record ModelReadyExpected(ServiceName service, ModelKey key, Instant ready)
            implements ForwardingEvent {}

    /**
     * The planner counted the running instances.
     *
     * @param instances number of instances that report to the planner, including the planner
     */
    record InstancesCounted(int instances) implements ForwardingEvent {}

    /**
     * The planner announced how many requests all instances together have in flight.
     *
     * @param totals number of requests by server; servers without requests are left out
     * @param suspected servers that several instances cannot reach
     * @param learntPaces paces learnt from answer times, in percent; empty if this notice announces
     *     none
     * @param statedPaces stated paces weighted by their age, in percent; servers without a
     *     difference are left out
     */
    record LoadAnnounced(
            Map<ServerId, Integer> totals,
            Set<ServerId> suspected,
            Map<ServerId, Integer> learntPaces,
            Map<ServerId, Integer> statedPaces)
            implements ForwardingEvent {
        /** Creates an announcement without paces. */
        public LoadAnnounced(Map<ServerId, Integer> totals, Set<ServerId> suspected) {
            this(totals, suspected, Map.of(), Map.of());
        }

        public LoadAnnounced {
            learntPaces = Map.copyOf(learntPaces);
            statedPaces = Map.copyOf(statedPaces);
            totals = Map.copyOf(totals);
            suspected = Set.copyOf(suspected);
        }
    }

    /** The lender has answered a request for allowance. */
    record AllowanceAnswered() implements ForwardingEvent {}

    /** From now on requests with these traits, and only these, must not reach servers. */
    record QuarantineChanged(Set<RequestTrait> quarantined) implements ForwardingEvent {
        public QuarantineChanged {
            quarantined = Set.copyOf(quarantined);
        }
    }

    /**
     * One request with this quarantined trait may be sent, to find out whether it still crashes.
     */
    record TrialAllowed(RequestTrait trait) implements ForwardingEvent {}

    /**
     * The process will stop. No request may last longer than this.
     *
     * @param end time at which the last requests end
     */
    record StopScheduled(Instant end) implements ForwardingEvent {}

    /**
     * The process is about to stop. From now on no request may wait for a server; requests that a
     * server is processing may complete.
     */
    record QueueClosed() implements ForwardingEvent {}

    /** The periodic timer fired. */
    record Tick() implements ForwardingEvent {}
}
