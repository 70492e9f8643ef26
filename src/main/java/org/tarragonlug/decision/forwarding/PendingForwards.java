package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The requests that have not ended, and the ways in which they end.
 *
 * <p>Every request ends with exactly one command to answer, refuse or fail it, except for those
 * whose caller has left. A refusal states that the request has not run; a request that may have run
 * fails instead.
 */
final class PendingForwards {
    private final Map<Long, PendingForward> forwards = new LinkedHashMap<>();
    private final Consumer<ForwardingCommand> output;
    private final Consumer<PendingForward> endedWithoutRun;

    /**
     * Creates an empty collection.
     *
     * @param output receives the commands that end requests
     * @param endedWithoutRun receives the requests that have ended and did not run
     */
    PendingForwards(Consumer<ForwardingCommand> output, Consumer<PendingForward> endedWithoutRun) {
        this.output = output;
        this.endedWithoutRun = endedWithoutRun;
    }

    void add(PendingForward forward) {
        forwards.put(forward.request.key(), forward);
    }

    Optional<PendingForward> find(long key) {
        return Optional.ofNullable(forwards.get(key));
    }

    int size() {
        return forwards.size();
    }

    /** Returns the requests that wait for a server or are at one; may be changed meanwhile. */
    List<PendingForward> all() {
        return List.copyOf(forwards.values());
    }

    /** Returns the requests that wait for a server, in the order of their arrival. */
    List<PendingForward> waiting() {
        List<PendingForward> waiting = new ArrayList<>();
        for (PendingForward forward : forwards.values()) {
            if (forward.isWaiting()) {
                waiting.add(forward);
            }
        }
        return waiting;
    }

    long waitingCount() {
        long count = 0;
        for (PendingForward forward : forwards.values()) {
            count += forward.isWaiting() ? 1 : 0;
        }
        return count;
    }

    /** Passes the last complete answer of a server on. */
    void relayAnswer(PendingForward forward) {
        remove(forward);
        output.accept(new ForwardingCommand.RelayAnswer(forward.request.key()));
    }

    /** Refuses a request, or fails it if it may have run. */
    void refuseOrFail(PendingForward forward, RefusalReason reason, Duration retryAfter) {
        if (forward.notRun()) {
            remove(forward);
            refuse(forward.request.key(), reason, Optional.of(retryAfter));
        } else {
            fail(forward, FailureReason.SERVER_LOST);
        }
    }

    /** Ends a request that servers rejected and that may not be sent again. */
    void turnAway(PendingForward forward) {
        refuseOrFail(forward, RefusalReason.TURNED_AWAY, forward.retryDelay);
    }

    /** Refuses a request that has not been added. */
    void refuse(long key, RefusalReason reason, Optional<Duration> retryAfter) {
        output.accept(new ForwardingCommand.Refuse(key, reason, retryAfter));
    }

    /**
     * Ends a request that may have run, with the failure that a server answered if there is one.
     */
    void fail(PendingForward forward, FailureReason reason) {
        if (forward.failureToRelay && !forward.streamStarted) {
            relayAnswer(forward);
            return;
        }
        remove(forward);
        output.accept(new ForwardingCommand.Fail(forward.request.key(), reason));
    }

    /** Ends a request whose time is over. */
    void timeOut(PendingForward forward) {
        cancelAttempts(forward, CancelReason.TIME_OVER);
        end(forward, RefusalReason.TIME_OVER, Optional.empty());
    }

    /** Ends a request because the process stops now. */
    void stop(PendingForward forward) {
        cancelAttempts(forward, CancelReason.STOPPING);
        end(forward, RefusalReason.STOPPING, Optional.of(RetryDelay.STOPPING));
    }

    private void end(PendingForward forward, RefusalReason reason, Optional<Duration> retryAfter) {
        if (forward.notRun()) {
            remove(forward);
            refuse(forward.request.key(), reason, retryAfter);
        } else {
            fail(forward, FailureReason.TIME_OVER);
        }
    }

    /** Ends a request whose caller has left. */
    void abandon(PendingForward forward) {
        remove(forward);
        cancelAttempts(forward, CancelReason.CALLER_GONE);
    }

    private void cancelAttempts(PendingForward forward, CancelReason reason) {
        if (!forward.isWaiting()) {
            cancel(forward.primary, reason);
        }
        forward.backup.ifPresent(backup -> cancel(backup, reason));
    }

    private void cancel(OpenAttempt attempt, CancelReason reason) {
        attempt.server.onRequestEnded();
        output.accept(new ForwardingCommand.CancelAttempt(attempt.id, reason));
    }

    private void remove(PendingForward forward) {
        forwards.remove(forward.request.key());
        if (forward.notRun()) {
            endedWithoutRun.accept(forward);
        }
    }
}
