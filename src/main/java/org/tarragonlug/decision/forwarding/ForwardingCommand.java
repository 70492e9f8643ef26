package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.quarantine.LostRequest;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ReservationId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.id.ServiceName;

/** A command that the forwarding coordinator outputs for its driver to execute. */
public sealed interface ForwardingCommand {
    /**
     * Sends a request to a server.
     *
     * @param attempt the attempt that this send begins
     * @param server the server
     * @param address address of the server, {@code host:port}
     * @param remaining time that the server has left to answer
     * @param urgency rank among the requests that wait at the server, from 0, the first, to 9
     * @param lastEventId id of the last event that the caller has received; negative for none
     * @param streaming whether the answer is a stream of events
     * @param deadline time at which the request ends even if its answer is incomplete
     * @param newConnection whether it must be sent on a new connection, because one to this address
     *     failed and kept ones may be broken as well
     * @param account the account that the request belongs to; empty if it needs none
     * @param credentialRemoved whether the server must not see what the caller stated about its
     *     account
     * @param reservation the slot that the server has reserved for the request; empty for none
     */
    record Send(
            ForwardAttempt attempt,
            ServerId server,
            String address,
            Duration remaining,
            int urgency,
            long lastEventId,
            boolean streaming,
            Instant deadline,
            boolean newConnection,
            Optional<AccountName> account,
            boolean credentialRemoved,
            Optional<ReservationId> reservation)
            implements ForwardingCommand {
        /** Creates the command for a request that needs no account and has no reserved slot. */
        public Send(
                ForwardAttempt attempt,
                ServerId server,
                String address,
                Duration remaining,
                int urgency,
                long lastEventId,
                boolean streaming,
                Instant deadline,
                boolean newConnection) {
            this(
                    attempt,
                    server,
                    address,
                    remaining,
                    urgency,
                    lastEventId,
                    streaming,
                    deadline,
                    newConnection,
                    Optional.empty(),
                    false,
                    Optional.empty());
        }

        /** Returns the request. */
        public long request() {
            return attempt.request();
        }
    }

    /**
     * Asks a server to reserve a slot. The answer is {@link ForwardingEvent.SlotReserved} or {@link
     * ForwardingEvent.SlotNotReserved}.
     *
     * @param attempt number that the answer bears
     * @param server the server
     * @param address address of the server, {@code host:port}
     * @param tokens memory that the request needs, in tokens
     */
    record ReserveSlot(ForwardAttempt attempt, ServerId server, String address, int tokens)
            implements ForwardingCommand {}

    /**
     * Releases a slot that a server has reserved and that is not needed.
     *
     * @param server the server
     * @param address address of the server, {@code host:port}
     * @param reservation the slot
     */
    record ReleaseSlot(ServerId server, String address, ReservationId reservation)
            implements ForwardingCommand {}

    /** Reads the body of a request whose head has arrived. */
    record ReceiveBody(long request) implements ForwardingCommand {}

    /** Reads the configuration from the store, since a key is unknown. */
    record ReadConfiguration() implements ForwardingCommand {}

    /** Relays the complete answer of the server to the caller. */
    record RelayAnswer(long request) implements ForwardingCommand {}

    /**
     * Refuses a request that has not run and will not run.
     *
     * @param request the request
     * @param reason the reason for the refusal
     * @param retryAfter delay after which the caller may retry; empty if a retry is not suggested
     */
    record Refuse(long request, RefusalReason reason, Optional<Duration> retryAfter)
            implements ForwardingCommand {}

    /**
     * Ends a request that may have run. The caller gets an error, or its stream breaks off if the
     * stream has started.
     */
    record Fail(long request, FailureReason reason) implements ForwardingCommand {}

    /**
     * Closes the connection on which a server is processing a request.
     *
     * @param attempt the send that ends
     * @param reason why it ends
     */
    record CancelAttempt(ForwardAttempt attempt, CancelReason reason) implements ForwardingCommand {
        /** Returns the request. */
        public long request() {
            return attempt.request();
        }
    }

    /**
     * Reports to the planner that a request waits for a model.
     *
     * @param service the service
     * @param key the model and adapter
     * @param priority priority of the account or the route; 0 is the most urgent
     * @param targetEnd latest time at which an answer may begin and still meet the target latency
     * @param deadline time after which the caller no longer waits for an answer to begin
     */
    record ReportWaiting(
            ServiceName service, ModelKey key, int priority, Instant targetEnd, Instant deadline)
            implements ForwardingCommand {}

    /** Asks the lender for allowance at once, because a request waits for it. */
    record RequestAllowance() implements ForwardingCommand {}

    /** Reports to the planner that a request for a model has arrived, which counts as demand. */
    record ReportArrival(ServiceName service, ModelKey key) implements ForwardingCommand {}

    /** Reports that a server broke off before any content of the answer to a request had come. */
    record ReportRequestLost(ServerIncarnation server, LostRequest request)
            implements ForwardingCommand {}

    /** Reports that a server has begun to answer a request with these traits. */
    record ReportAnswerBegun(List<RequestTrait> traits) implements ForwardingCommand {
        public ReportAnswerBegun {
            traits = List.copyOf(traits);
        }
    }

    /** Reports that a server itself has answered something that was sent to it at a time. */
    record ReportServerAnswered(ServerIncarnation server, Instant sentAt)
            implements ForwardingCommand {}

    /**
     * Reports that what a server said about itself has changed what this instance knows of it.
     *
     * @param server the run of the server that said it
     * @param notice what it said
     * @param request the request with whose answer it said so
     */
    record ReportNotice(ServerIncarnation server, ServerNotice notice, long request)
            implements ForwardingCommand {}

    /** Reports that an event was discarded because its attempt is not under way any more. */
    record ReportLateEvent(ForwardAttempt attempt) implements ForwardingCommand {}

    /**
     * Reports that the requests in flight at a server are limited from now on, or no longer.
     *
     * @param server the run of the server
     * @param cause why they are or were limited
     * @param begins whether the limit begins; otherwise it ends
     * @param limit requests in flight that all instances together may have there
     */
    record ReportLimit(ServerIncarnation server, LimitCause cause, boolean begins, double limit)
            implements ForwardingCommand {}
}
