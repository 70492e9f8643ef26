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
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final CoordinatorContext context;
    private final RequestCompletion completion;
    private final ServerChecks serverChecks;

    RetryPolicy(CoordinatorContext context, RequestCompletion endings, ServerChecks checks) {
        this.context = context;
        this.completion = endings;
        this.serverChecks = checks;
    }

    /** Handles an attempt that was refused and so has not run; it was released already. */
    void onAttemptNotRun(Attempt attempt, boolean chargeBudget, String detail, Instant now) {
        PendingRequest request = attempt.request;
        request.mayHaveRun = attempt.mayHaveRunBefore;
        request.avoidedServer = attempt.server;
        boolean allowed =
                !request.callerDisconnected
                        && hasAttemptsLeft(request)
                        && (!chargeBudget || context.retryBudget.tryTake());
        if (allowed) {
            context.enqueue(request, now);
        } else {
            completion.refuse(
                    request,
                    RefusalReason.NO_CAPACITY,
                    Optional.of(RETRY_AFTER),
                    "server=" + attempt.server.id + " " + detail,
                    now);
        }
    }

    /** Handles an attempt that may have run and will not end by itself; it was released already. */
    void onAttemptBroken(Attempt attempt, AttemptFailure failure, String detail, Instant now) {
        onAttemptBroken(attempt, failure, false, detail, now);
    }

    /** As above, for a retry that may have been paid already. */
    void onAttemptBroken(Attempt attempt, AttemptFailure failure, boolean retryCharged, String detail, Instant now) {
        PendingRequest request = attempt.request;
        BackendServer server = attempt.server;
        server.recordBrokenAttempt(attempt, now);
        if (!request.route.idempotent()) {
            completion.refuse(
                    request,
                    RefusalReason.OUTCOME_UNKNOWN,
                    "server=" + server.id + " failure=" + failure + " " + detail,
                    now);
            checkServer(server, now);
            return;
        }
        request.retryCharged = retryCharged || attempt.hasProgressed();
        if (attempt.hasProgressed()) {
            request.attemptsWithoutProgress = 0;
        }
        boolean sameServer =
                failure != AttemptFailure.SERVER_ERROR && request.attemptsWithoutProgress < 2;
        request.state = PendingRequest.State.VERIFYING;
        request.server = server;
        request.failedAt = now;
        request.preferredServer = sameServer ? server : null;
        request.avoidedServer = sameServer ? null : server;
        server.awaitingCheck.add(request);
        checkServer(server, now);
    }

    /** The server's process is the same as before: what failed before the report goes on. */
    void onServerReport(BackendServer server, Instant fetchedAt, Instant now) {
        for (PendingRequest request : List.copyOf(server.awaitingCheck)) {
            if (!request.failedAt.isAfter(fetchedAt)) {
                server.awaitingCheck.remove(request);
                retry(request, now);
            }
        }
        if (!server.awaitingCheck.isEmpty()) {
            checkServer(server, now);
        }
    }

    /** The server does not answer: what was to be retried goes elsewhere. */
    void onServerUnreachable(BackendServer server, Instant now) {
        server.reachable = false;
        serverChecks.onCheckAnswered(server);
        for (Attempt attempt : List.copyOf(server.attempts)) {
            Duration idle = Duration.between(attempt.lastProgressAt, now);
            boolean silent = idle.compareTo(context.settings.progressTimeout()) >= 0;
            if (silent && attempt.request.route.idempotent()) {
                context.abandon(attempt);
                onAttemptBroken(attempt, AttemptFailure.SILENT, "server is unreachable", now);
            }
        }
        for (PendingRequest request : takeRequestsAwaitingCheck(server)) {
            request.preferredServer = null;
            request.avoidedServer = server;
            retry(request, now);
        }
    }

    /** Takes the requests whose attempts at the server failed and that wait for its check. */
    List<PendingRequest> takeRequestsAwaitingCheck(BackendServer server) {
        List<PendingRequest> taken = new ArrayList<>(server.awaitingCheck);
        server.awaitingCheck.clear();
        return taken;
    }

    void checkServer(BackendServer server, Instant now) {
        serverChecks.check(server, now, due -> onServerUnreachable(server, due));
    }

    private void retry(PendingRequest request, Instant now) {
        boolean allowed =
                hasAttemptsLeft(request) && (request.retryCharged || context.retryBudget.tryTake());
        if (allowed) {
            context.enqueue(request, now);
        } else {
            request.state = PendingRequest.State.WAITING;
            completion.refuse(
                    request,
                    RefusalReason.BACKEND_FAILED,
                    Optional.of(RETRY_AFTER),
                    "attempts_without_progress=" + request.attemptsWithoutProgress,
                    now);
        }
    }

    private boolean hasAttemptsLeft(PendingRequest request) {
        return request.attemptsWithoutProgress < context.settings.maximumAttemptsWithoutProgress();
    }
}
