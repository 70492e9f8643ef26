package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.tarragonlug.decision.Invariant;
import org.tarragonlug.id.ArtifactId;

/**
 * Handles the events of attempts. Events of attempts that have ended or were abandoned are
 * discarded, but a token of an abandoned attempt causes the attempt to be cancelled once more.
 */
final class AttemptHandler {
    private static final Duration OVERLOAD_PAUSE = Duration.ofMillis(100);

    private final CoordinatorContext context;
    private final RequestCompletion completion;
    private final RetryPolicy retryPolicy;

    AttemptHandler(
            CoordinatorContext context, RequestCompletion completion, RetryPolicy retryPolicy) {
        this.context = context;
        this.completion = completion;
        this.retryPolicy = retryPolicy;
    }

    /**
     * Handles a token.
     *
     * @return the command that forwards the token, or null if the attempt is not in progress, the
     *     token is not the next one or the caller has disconnected
     */
    RequestCommand onToken(RequestEvent.AttemptToken token, Instant now) {
        Attempt attempt = context.attempts.get(token.attempt());
        if (attempt == null) {
            context.cancelAgainIfAbandoned(token.attempt());
            return null;
        }
        PendingRequest request = attempt.request;
        boolean first = !attempt.hasProgressed();
        switch (request.stream.accept(token.offset())) {
            case FORWARD -> {
                attempt.lastProgressAt = now;
                if (first) {
                    recordFirstProgress(attempt, now);
                }
                return request.callerDisconnected
                        ? null
                        : new RequestCommand.ForwardToken(request.id, token.offset(), token.text());
            }
            case GAP -> {
                context.abandon(attempt);
                retryPolicy.onAttemptBroken(
                        attempt,
                        AttemptFailure.CONNECTION_LOST,
                        "a token is missing before offset " + token.offset(),
                        now);
                return null;
            }
            default -> {
                return null;
            }
        }
    }

    void onCompleted(RequestEvent.AttemptCompleted event, Instant now) {
        Attempt attempt = context.attempts.get(event.attempt());
        if (attempt == null) {
            return;
        }
        int forwarded = attempt.request.stream.nextOffset();
        if (event.tokens() == forwarded) {
            recordAnswer(attempt, forwarded - attempt.startOffset, now);
            completion.complete(attempt, event.tokens(), event.checksum(), now);
            return;
        }
        context.release(attempt);
        if (event.tokens() > forwarded) {
            retryPolicy.onAttemptBroken(
                    attempt,
                    AttemptFailure.CONNECTION_LOST,
                    "the server reports " + event.tokens() + " tokens, forwarded=" + forwarded,
                    now);
            return;
        }
        context.checkInvariant(
                false,
                Invariant.ANSWER_COMPLETE,
                attempt.request.id,
                "the server reports " + event.tokens() + " tokens, forwarded=" + forwarded);
        completion.refuse(
                attempt.request,
                RefusalReason.BACKEND_FAILED,
                "the server reports fewer tokens than were forwarded",
                now);
    }

    void onAnswered(RequestEvent.AttemptAnswered event, Instant now) {
        Attempt attempt = context.attempts.get(event.attempt());
        if (attempt != null) {
            recordFirstProgress(attempt, now);
            recordAnswer(attempt, 0, now);
            completion.forwardAnswer(attempt, event.status(), now);
        }
    }

    void onFailed(RequestEvent.AttemptFailed event, Instant now) {
        Attempt attempt = context.attempts.get(event.attempt());
        if (attempt == null) {
            return;
        }
        context.release(attempt);
        BackendServer server = attempt.server;
        AttemptFailure failure = event.failure();
        switch (failure) {
            case NOT_SENT -> {
                server.recordFailure();
                server.reachable = false;
                retryPolicy.checkServer(server, now);
                retryPolicy.onAttemptNotRun(attempt, true, event.detail(), now);
            }
            case REFUSED_OVERLOADED -> {
                server.limit.onOverload(now);
                pause(server, now);
                retryPolicy.onAttemptNotRun(attempt, true, event.detail(), now);
            }
            case REFUSED_LEAVING -> {
                server.statedAsLeaving = true;
                retryPolicy.onAttemptNotRun(attempt, false, event.detail(), now);
            }
            case REFUSED_NOT_LOADED -> {
                removeReplica(attempt);
                retryPolicy.onAttemptNotRun(attempt, false, event.detail(), now);
            }
            case REJECTED -> {
                attempt.request.mayHaveRun = attempt.mayHaveRunBefore;
                completion.refuse(
                        attempt.request, RefusalReason.REJECTED_BY_BACKEND, event.detail(), now);
            }
            case REJECTED_WITHOUT_STATEMENT ->
                    completion.refuse(
                            attempt.request,
                            RefusalReason.REJECTED_BY_BACKEND,
                            event.detail(),
                            now);
            default -> {
                if (failure == AttemptFailure.SERVER_ERROR) {
                    server.limit.onOverload(now);
                }
                server.recordFailure();
                retryPolicy.onAttemptBroken(attempt, failure, event.detail(), now);
            }
        }
    }

    private void recordAnswer(Attempt attempt, int tokens, Instant now) {
        Duration duration = Duration.between(attempt.sentAt, now);
        attempt.server.recordAnswer(duration, tokens);
        if (attempt.startOffset == 0) {
            attempt.request.target.answerMillis.add(duration.toNanos() / 1e6);
        }
        if (attempt.request.isolated) {
            context.quarantine.clearSuspect(attempt.request.fingerprint);
        }
        context.release(attempt);
    }

    private static void recordFirstProgress(Attempt attempt, Instant now) {
        double millis = Duration.between(attempt.sentAt, now).toNanos() / 1e6;
        attempt.request.target.firstProgressMillis.add(millis);
    }

    /**
     * Removes the server from the ready replicas of the artifact. The next report of the server
     * that lists the artifact as loaded adds the server again.
     */
    private static void removeReplica(Attempt attempt) {
        Target target = attempt.request.target;
        BackendServer server = attempt.server;
        target.replicas.ready.remove(server);
        server.loaded =
                server.loaded.map(
                        loaded -> {
                            Set<ArtifactId> remaining = new HashSet<>(loaded);
                            remaining.remove(target.artifact);
                            return remaining;
                        });
    }

    private void pause(BackendServer server, Instant now) {
        server.paused = true;
        if (server.pauseTimer == null) {
            server.pauseTimer =
                    new TimerHeap.Timer(
                            due -> {
                                server.paused = false;
                                context.serversWithRoom.add(server);
                            });
        }
        context.timers.schedule(server.pauseTimer, now.plus(OVERLOAD_PAUSE));
    }
}
