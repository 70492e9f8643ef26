package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** What the coordinator of forwarded requests wants to be done. */
public sealed interface ForwardingCommand {
    /**
     * Send a request to a server.
     *
     * @param request the request
     * @param server the server
     * @param address its address
     * @param remaining how long the server may work on it
     * @param urgency 0 is the most urgent
     * @param lastEventId last event that the caller has; negative for none
     * @param streaming whether a stream is expected
     * @param deadline when the request ends without a whole answer
     */
    record Send(
            long request,
            ServerId server,
            String address,
            Duration remaining,
            int urgency,
            long lastEventId,
            boolean streaming,
            Instant deadline)
            implements ForwardingCommand {}

    /** Pass the whole answer of the server on. */
    record RelayAnswer(long request) implements ForwardingCommand {}

    /**
     * Refuse a request that has not run and will not.
     *
     * @param request the request
     * @param reason why
     * @param retryAfter when to come back
     */
    record Refuse(long request, RefusalReason reason, Optional<Duration> retryAfter)
            implements ForwardingCommand {}

    /** End a request that may have run: an error, or a break of a stream that has started. */
    record Fail(long request, FailureReason reason) implements ForwardingCommand {}

    /** Close the connection on which a server works on the request. */
    record CancelAttempt(long request) implements ForwardingCommand {}

    /**
     * A request waits for a model.
     *
     * @param service the service
     * @param key the model
     * @param priority 0 is the most urgent
     * @param targetEnd until when an answer that begins is in time
     * @param deadline when waiting becomes useless
     */
    record ReportWaiting(ServiceName service, ModelKey key, int priority, Instant targetEnd, Instant deadline)
            implements ForwardingCommand {}

    /** A request for a model has arrived; counted as demand. */
    record ReportArrival(ServiceName service, ModelKey key) implements ForwardingCommand {}
}
