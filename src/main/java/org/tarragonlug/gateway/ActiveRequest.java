package org.tarragonlug.gateway;

import java.time.Instant;
import java.util.Map;
import org.tarragonlug.caller.ForwardedCall;

/** What the edge keeps of a forwarded request until it ends. */
final class ActiveRequest {
    final ForwardedCall call;
    final String requestId;
    final Instant arrivedAt;
    ServerAttempt currentAttempt;
    String serverId = "";
    int attemptCount;
    boolean streamStarted;
    int answerStatus;
    Map<String, String> answerHeaders = Map.of();
    byte[] answerBody = new byte[0];

    ActiveRequest(ForwardedCall call, String requestId, Instant arrivedAt) {
        this.call = call;
        this.requestId = requestId;
        this.arrivedAt = arrivedAt;
    }
}
