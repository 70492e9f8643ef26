package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides what follows a failed attempt.
 *
 * <p>An attempt that may have run is retried only by an idempotent route, and only after its server
 * was checked: if the server's process is gone, the request may have crashed it, and an ordinary
 * retry could crash the next one. Retries without progress are paid from the budget. A resumed
 * stream that had made progress is not, since it repeats no work; nor is a refusal "leaving" or
 * "not loaded", which takes the server out of the choice.
 */
final class RetryPolicy {
    private static final Duration NO_CAPACITY_RETRY = Duration.ofSeconds(1);

    private final CoordinatorContext context;
    private final RequestEndings endings;
    private final ServerChecks checks;

    RetryPolicy(CoordinatorContext context, RequestEndings endings, ServerChecks checks) {
        this.context = context;
        this.endings = endings;
        this.checks = checks;
    }

    /** Handles an attempt that was refused and so has not run; it was released already. */
    void refused(Attempt attempt, boolean paid, String detail, Instant now) {
        PendingRequest request = attempt.request;
        request.mayHaveRun = attempt.ranBefore;
        request.avoided = attempt.server;
        boolean allowed =
                !request.callerGone
                        && hasAttemptsLeft(request)
                        && (!paid || context.budget.tryTake());
        if (allowed) {
            context.enqueue(request, now);
        } else {
            endings.refuse(
                    request,
                    RefusalReason.NO_CAPACITY,
                    Optional.of(NO_CAPACITY_RETRY),
                    "server=" + attempt.server.id + " " + detail,
                    now);
        }
    }

    /** Handles an attempt that may have run and will not end by itself; it was released already. */
    void broken(Attempt attempt, AttemptFailure failure, String detail, Instant now) {
        broken(attempt, failure, false, detail, now);
    }

    /** As above, for a retry that may have been paid already. */
    void broken(Attempt attempt, AttemptFailure failure, boolean paid, String detail, Instant now) {
        PendingRequest request = attempt.request;
        BackendServer server = attempt.server;
        server.broke(attempt, now);
        if (!request.route.idempotent()) {
            endings.refuse(
                    request,
                    RefusalReason.OUTCOME_UNKNOWN,
                    "server=" + server.id + " failure=" + failure + " " + detail,
                    now);
            check(server, now);
            return;
        }
        request.retryPaid = paid || attempt.hasProgressed();
        if (attempt.hasProgressed()) {
            request.attemptsWithoutProgress = 0;
        }
        boolean sameServer =
                failure != AttemptFailure.SERVER_ERROR && request.attemptsWithoutProgress < 2;
        request.state = PendingRequest.State.VERIFYING;
        request.server = server;
        request.failedAt = now;
        request.preferred = sameServer ? server : null;
        request.avoided = sameServer ? null : server;
        server.verifying.add(request);
        check(server, now);
    }

    /** The server's process is the same as before: what failed before the report goes on. */
    void serverAnswered(BackendServer server, Instant fetchedAt, Instant now) {
        for (PendingRequest request : List.copyOf(server.verifying)) {
            if (!request.failedAt.isAfter(fetchedAt)) {
                server.verifying.remove(request);
                retry(request, now);
            }
        }
        if (!server.verifying.isEmpty()) {
            check(server, now);
        }
    }

    /** The server does not answer: what was to be retried goes elsewhere. */
    void serverUnreachable(BackendServer server, Instant now) {
        server.reachable = false;
        checks.answered(server);
        for (Attempt attempt : List.copyOf(server.attempts)) {
            Duration idle = Duration.between(attempt.progressAt, now);
            boolean silent = idle.compareTo(context.settings.progressTimeout()) >= 0;
            if (silent && attempt.request.route.idempotent()) {
                context.abandon(attempt);
                broken(attempt, AttemptFailure.SILENT, "server is unreachable", now);
            }
        }
        for (PendingRequest request : takeVerifying(server)) {
            request.preferred = null;
            request.avoided = server;
            retry(request, now);
        }
    }

    /** Takes the requests whose attempts at the server failed and that wait for its check. */
    List<PendingRequest> takeVerifying(BackendServer server) {
        List<PendingRequest> taken = new ArrayList<>(server.verifying);
        server.verifying.clear();
        return taken;
    }

    void check(BackendServer server, Instant now) {
        checks.check(server, now, due -> serverUnreachable(server, due));
    }

    private void retry(PendingRequest request, Instant now) {
        boolean allowed =
                hasAttemptsLeft(request) && (request.retryPaid || context.budget.tryTake());
        if (allowed) {
            context.enqueue(request, now);
        } else {
            request.state = PendingRequest.State.WAITING;
            endings.refuse(
                    request,
                    RefusalReason.BACKEND_FAILED,
                    Optional.of(NO_CAPACITY_RETRY),
                    "attempts_without_progress=" + request.attemptsWithoutProgress,
                    now);
        }
    }

    private boolean hasAttemptsLeft(PendingRequest request) {
        return request.attemptsWithoutProgress < context.settings.attemptsPerRequest();
    }
}
