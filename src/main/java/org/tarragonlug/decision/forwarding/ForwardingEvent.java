package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.Optional;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** What the coordinator of forwarded requests reacts to. */
public sealed interface ForwardingEvent {
    /** A whole request has arrived. */
    record RequestArrived(ForwardRequest request) implements ForwardingEvent {}

    /** A server turned a request away without running it. */
    record Rejected(long request, Rejection rejection, Optional<ReportedLoad> load)
            implements ForwardingEvent {}

    /** The first bytes of a stream's answer have come from a server. */
    record StreamStarted(long request, Optional<ReportedLoad> load) implements ForwardingEvent {}

    /** An event of a stream has been passed to the caller. */
    record EventRelayed(long request, long eventId) implements ForwardingEvent {}

    /**
     * A whole answer has come.
     *
     * @param request the request
     * @param status its HTTP status
     * @param load load that the server stated
     */
    record Answered(long request, int status, Optional<ReportedLoad> load)
            implements ForwardingEvent {}

    /** A connection broke, was silent or brought an invalid answer after the request was sent. */
    record ConnectionBroken(long request) implements ForwardingEvent {}

    /** The caller has gone. */
    record CallerDisconnected(long request) implements ForwardingEvent {}

    /** A configuration is in force. */
    record TableInstalled(ForwardingTable table) implements ForwardingEvent {}

    /** A server is listed or its listing changed. */
    record ServerListed(ServerListing listing) implements ForwardingEvent {}

    /** A server is no longer listed. */
    record ServerUnlisted(ServerId server) implements ForwardingEvent {}

    /**
     * The decider says what a server holds before the listing shows it.
     *
     * @param server the server
     * @param key the model
     * @param held whether the server holds it
     * @param until how long to believe it without a listing
     */
    record ReplicaAnnounced(ServerId server, ModelKey key, boolean held, Instant until)
            implements ForwardingEvent {}

    /**
     * The decider says when a model will be ready.
     *
     * @param service the service
     * @param key the model
     * @param ready when it is expected
     */
    record ModelReadyExpected(ServiceName service, ModelKey key, Instant ready)
            implements ForwardingEvent {}

    /**
     * Another instance has counted the instances of the system.
     *
     * @param instances how many report to it, with itself
     */
    record InstancesCounted(int instances) implements ForwardingEvent {}

    /** The process stops soon: nothing may wait any more, only what a server has may end. */
    record QueueClosed() implements ForwardingEvent {}

    /** Time has passed. */
    record Tick() implements ForwardingEvent {}
}
