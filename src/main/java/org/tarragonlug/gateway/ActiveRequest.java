package org.tarragonlug.gateway;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.caller.ForwardedCall;
import org.tarragonlug.decision.forwarding.ForwardAttempt;
import org.tarragonlug.decision.forwarding.ForwardRequest;
import org.tarragonlug.http.HttpBody;

/**
 * State that {@link ForwardingDriver} keeps for a forwarded request until it ends.
 *
 * <p>{@code answerHeaders} and {@code answerBody} hold a complete answer until the coordinator
 * decides to deliver it. They stay empty for a stream, whose events go to the caller as they
 * arrive.
 */
final class ActiveRequest {
    final ForwardedCall call;
    final ForwardRequest request;
    final String requestId;
    final Instant arrivedAt;
    final SendHistory sends = new SendHistory();
    boolean streamStarted;
    int answerStatus;
    Map<String, String> answerHeaders = Map.of();
    HttpBody answerBody = HttpBody.EMPTY;

    private final Map<ForwardAttempt, OpenSend> openSends = new HashMap<>(2);

    /**
     * A send that may not have ended.
     *
     * @param send what was sent
     * @param attempt receives the answer
     */
    record OpenSend(ServerSend send, ServerAttempt attempt) {}

    ActiveRequest(ForwardedCall call, ForwardRequest request, Instant arrivedAt) {
        this.call = call;
        this.request = request;
        this.requestId = request.callerRequestId();
        this.arrivedAt = arrivedAt;
    }

    /** Adds a send that begins. */
    void add(OpenSend open) {
        openSends.values().removeIf(each -> each.send().hasEnded());
        sends.add(open.send());
        openSends.put(open.send().command().attempt(), open);
    }

    /** Removes a send that is cancelled; empty if it is not known. */
    Optional<OpenSend> remove(ForwardAttempt attempt) {
        return Optional.ofNullable(openSends.remove(attempt));
    }

    /** Returns the sends that may not have ended. */
    Collection<OpenSend> openSends() {
        return openSends.values();
    }
}
