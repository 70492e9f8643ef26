package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.tarragonlug.decision.Invariant;
import org.tarragonlug.id.ArtifactId;

/** Handles what attempts report. Events of attempts that were given up are discarded. */
final class AttemptHandler {
    private static final Duration OVERLOAD_PAUSE = Duration.ofMillis(100);

    private final CoordinatorContext context;
    private final RequestEndings endings;
    private final RetryPolicy retries;

    AttemptHandler(CoordinatorContext context, RequestEndings endings, RetryPolicy retries) {
        this.context = context;
        this.endings = endings;
        this.retries = retries;
    }

    /** Handles a token; returns the command to forward it, or null if it is not the next one. */
    RequestCommand token(RequestEvent.AttemptToken token, Instant now) {
        Attempt attempt = context.attempts.get(token.attempt());
        if (attempt == null) {
            context.lateEvent(token.attempt());
            return null;
        }
        PendingRequest request = attempt.request;
        boolean first = !attempt.hasProgressed();
        switch (request.stream.accept(token.offset())) {
            case FORWARD -> {
                attempt.progressAt = now;
                if (first) {
                    noteFirstProgress(attempt, now);
                }
                return request.callerGone
                        ? null
                        : new RequestCommand.ForwardToken(request.id, token.offset(), token.text());
            }
            case GAP -> {
                context.abandon(attempt);
                retries.broken(attempt, AttemptFailure.CONNECTION_LOST, "token missing", now);
                return null;
            }
            default -> {
                return null;
            }
        }
    }

    void completed(RequestEvent.AttemptCompleted event, Instant now) {
        Attempt attempt = context.attempts.get(event.attempt());
        if (attempt == null) {
            return;
        }
        int forwarded = attempt.request.stream.next();
        if (event.tokens() == forwarded) {
            answered(attempt, forwarded - attempt.startOffset, now);
            endings.complete(attempt, event.tokens(), event.checksum(), now);
            return;
        }
        context.release(attempt);
        if (event.tokens() > forwarded) {
            retries.broken(attempt, AttemptFailure.CONNECTION_LOST, "tokens missing", now);
            return;
        }
        context.check(
                false,
                Invariant.ANSWER_COMPLETE,
                attempt.request.id,
                "the server counts " + event.tokens() + " tokens, forwarded=" + forwarded);
        endings.refuse(
                attempt.request, RefusalReason.BACKEND_FAILED, "the answer is inconsistent", now);
    }

    void answered(RequestEvent.AttemptAnswered event, Instant now) {
        Attempt attempt = context.attempts.get(event.attempt());
        if (attempt != null) {
            noteFirstProgress(attempt, now);
            answered(attempt, 0, now);
            endings.forwardAnswer(attempt, event.status(), now);
        }
    }

    void failed(RequestEvent.AttemptFailed event, Instant now) {
        Attempt attempt = context.attempts.get(event.attempt());
        if (attempt == null) {
            return;
        }
        context.release(attempt);
        BackendServer server = attempt.server;
        AttemptFailure failure = event.failure();
        switch (failure) {
            case NOT_SENT -> {
                server.failed();
                server.reachable = false;
                retries.check(server, now);
                retries.refused(attempt, true, event.detail(), now);
            }
            case REFUSED_OVERLOADED -> {
                server.limit.refused(now);
                pause(server, now);
                retries.refused(attempt, true, event.detail(), now);
            }
            case REFUSED_LEAVING -> {
                server.leavingByServer = true;
                retries.refused(attempt, false, event.detail(), now);
            }
            case REFUSED_NOT_LOADED -> {
                notLoaded(attempt);
                retries.refused(attempt, false, event.detail(), now);
            }
            case REJECTED -> {
                attempt.request.mayHaveRun = attempt.ranBefore;
                endings.refuse(
                        attempt.request, RefusalReason.REJECTED_BY_BACKEND, event.detail(), now);
            }
            default -> {
                if (failure == AttemptFailure.SERVER_ERROR) {
                    server.limit.refused(now);
                }
                server.failed();
                retries.broken(attempt, failure, event.detail(), now);
            }
        }
    }

    private void answered(Attempt attempt, int tokens, Instant now) {
        Duration duration = Duration.between(attempt.sentAt, now);
        attempt.server.answered(duration, tokens);
        if (attempt.startOffset == 0) {
            attempt.request.target.duration.add(duration.toNanos() / 1e6);
        }
        if (attempt.request.isolated) {
            context.quarantine.clear(attempt.request.fingerprint);
        }
        context.release(attempt);
    }

    private static void noteFirstProgress(Attempt attempt, Instant now) {
        double millis = Duration.between(attempt.sentAt, now).toNanos() / 1e6;
        attempt.request.target.firstProgress.add(millis);
    }

    /** The server's next report that shows the artifact as loaded makes it ready again. */
    private static void notLoaded(Attempt attempt) {
        Target target = attempt.request.target;
        BackendServer server = attempt.server;
        target.replicas.ready.remove(server);
        server.loaded =
                server.loaded.map(
                        loaded -> {
                            Set<ArtifactId> rest = new HashSet<>(loaded);
                            rest.remove(target.artifact);
                            return rest;
                        });
    }

    private void pause(BackendServer server, Instant now) {
        server.paused = true;
        if (server.pause == null) {
            server.pause =
                    new TimerHeap.Timer(
                            due -> {
                                server.paused = false;
                                context.freedServers.add(server);
                            });
        }
        context.timers.schedule(server.pause, now.plus(OVERLOAD_PAUSE));
    }
}
