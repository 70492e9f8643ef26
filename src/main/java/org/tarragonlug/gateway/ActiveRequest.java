package org.tarragonlug.gateway;

import java.time.Instant;
import java.util.Map;
import org.tarragonlug.caller.ForwardedCall;
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
    ServerAttempt currentAttempt;
    boolean streamStarted;
    int answerStatus;
    Map<String, String> answerHeaders = Map.of();
    HttpBody answerBody = HttpBody.EMPTY;

    ActiveRequest(ForwardedCall call, ForwardRequest request, Instant arrivedAt) {
        this.call = call;
        this.request = request;
        this.requestId = request.callerRequestId();
        this.arrivedAt = arrivedAt;
    }
}
