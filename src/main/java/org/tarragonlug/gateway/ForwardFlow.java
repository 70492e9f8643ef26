package org.tarragonlug.gateway;

import java.time.Instant;
import java.util.Map;
import org.tarragonlug.caller.ForwardedCall;

/** What the edge keeps of a forwarded request until it ends. */
final class ForwardFlow {
    final ForwardedCall call;
    final String callerId;
    final Instant arrivedAt;
    ServerAttempt attempt;
    String server = "";
    int attempts;
    boolean streamStarted;
    int answerStatus;
    Map<String, String> answerHeaders = Map.of();
    byte[] answerBody = new byte[0];

    ForwardFlow(ForwardedCall call, String callerId, Instant arrivedAt) {
        this.call = call;
        this.callerId = callerId;
        this.arrivedAt = arrivedAt;
    }
}
