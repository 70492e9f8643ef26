package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.runtime.TimerService;

/**
 * Calls to the store that peers make for this instance.
 *
 * <p>An answer counts only if it is of the present era of the store. A peer that has not learnt of
 * the era yet may answer from an earlier one, and a peer of a release that does not state eras may
 * answer from any. Such a call fails, and the instance makes it itself.
 */
final class RelayedCalls {
    private final RelayingObjectApi.PeerChannel channel;
    private final TimerService timers;
    private final StoreEraMonitor eras;
    private final CallNumbers callNumbers;
    private final Map<Long, CompletableFuture<GatewayMessage.ObjectCallAnswer>> pending =
            new HashMap<>();

    /**
     * Creates the calls of an instance.
     *
     * @param channel sends messages to peers
     * @param eras knows the present era of the store
     * @param callNumbers numbers for the calls
     */
    RelayedCalls(
            RelayingObjectApi.PeerChannel channel,
            TimerService timers,
            StoreEraMonitor eras,
            CallNumbers callNumbers) {
        this.channel = channel;
        this.timers = timers;
        this.eras = eras;
        this.callNumbers = callNumbers;
    }

    /**
     * Makes a call through a peer.
     *
     * @param position position after which a watch starts, or era and expected version of a write
     * @param content content for a write; null for other operations
     * @param wait longest wait of a watch
     * @param timeout how long the answer may take in addition to the wait
     * @return the answer of the present era; a read that has none fails with {@code
     *     OBJECT_API_UNAVAILABLE}, a write with {@code OBJECT_API_OUTCOME_UNKNOWN}
     */
    CompletionStage<GatewayMessage.ObjectCallAnswer> call(
            InstanceId peer,
            GatewayMessage.ObjectOperation operation,
            ObjectName name,
            StorePosition position,
            JsonNode content,
            Duration wait,
            Duration timeout) {
        long number = callNumbers.next();
        Instant began = timers.now();
        CompletableFuture<GatewayMessage.ObjectCallAnswer> result = new CompletableFuture<>();
        pending.put(number, result);
        timers.scheduleOnce(wait.plus(timeout), now -> onTimeout(number, peer, operation));
        channel.send(
                peer,
                new GatewayMessage.ObjectCall(
                        PeerMessage.FORMAT_VERSION,
                        number,
                        operation,
                        name.kind(),
                        name.name(),
                        position.revision(),
                        Optional.ofNullable(content).map(RelayedObjects::toText),
                        wait,
                        position.era().value()));
        return result.thenCompose(RelayedCalls::requireSuccess)
                .thenCompose(answer -> requirePresentEra(answer, operation, began));
    }

    private void onTimeout(long number, InstanceId peer, GatewayMessage.ObjectOperation operation) {
        CompletableFuture<GatewayMessage.ObjectCallAnswer> unanswered = pending.remove(number);
        if (unanswered != null) {
            String detail = "peer " + peer + " did not answer a relayed " + operation;
            unanswered.completeExceptionally(
                    new TarragonlugException(withoutAnswer(operation), detail));
        }
    }

    /** Completes a call with the answer of the peer. Late answers are ignored. */
    void onAnswer(GatewayMessage.ObjectCallAnswer answer) {
        CompletableFuture<GatewayMessage.ObjectCallAnswer> waiting = pending.remove(answer.call());
        if (waiting != null) {
            waiting.complete(answer);
        }
    }

    private static CompletionStage<GatewayMessage.ObjectCallAnswer> requireSuccess(
            GatewayMessage.ObjectCallAnswer answer) {
        if (answer.error().isEmpty()) {
            return CompletableFuture.completedFuture(answer);
        }
        ErrorCode code = ErrorCode.OBJECT_API_OUTCOME_UNKNOWN;
        for (ErrorCode each : ErrorCode.values()) {
            code = each.name().equals(answer.error()) ? each : code;
        }
        return CompletableFuture.failedFuture(
                new TarragonlugException(code, "the relaying peer reported " + answer.error()));
    }

    private CompletionStage<GatewayMessage.ObjectCallAnswer> requirePresentEra(
            GatewayMessage.ObjectCallAnswer answer,
            GatewayMessage.ObjectOperation operation,
            Instant began) {
        boolean missing = !answer.statedEra().isStated() && eras.current().isStated();
        if (!missing && eras.accepts(answer.statedEra(), began)) {
            return CompletableFuture.completedFuture(answer);
        }
        String detail =
                String.format(
                        "the relayed answer is of era %s, the present one is %s",
                        answer.statedEra(), eras.current());
        return CompletableFuture.failedFuture(
                new TarragonlugException(withoutAnswer(operation), detail));
    }

    /** Returns the error of a call that the peer may have made, and whose answer is not known. */
    private static ErrorCode withoutAnswer(GatewayMessage.ObjectOperation operation) {
        return operation == GatewayMessage.ObjectOperation.WRITE
                ? ErrorCode.OBJECT_API_OUTCOME_UNKNOWN
                : ErrorCode.OBJECT_API_UNAVAILABLE;
    }
}
