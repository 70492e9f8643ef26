package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides what to do after a failed attempt.
 *
 * <p>An attempt that may have run is retried only if its route is idempotent, and only after its
 * server was checked. If the server's process has ended, the request may have caused the crash, and
 * an ordinary retry could crash the next server. Retries without progress are charged to the retry
 * budget. Resuming a stream that had made progress is free, because it repeats no work. A rejection
 * because the server is leaving or has not loaded the artifact is free as well, because the
 * rejection excludes the server from selection.
 */
final class RetryPolicy {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final CoordinatorContext context;
    private final RequestCompletion completion;
    private final ServerChecks serverChecks;

    RetryPolicy(
            CoordinatorContext context, RequestCompletion completion, ServerChecks serverChecks) {
        this.context = context;
        this.completion = completion;
        this.serverChecks = serverChecks;
    }

    /** Handles an attempt that certainly has not run. The attempt was released already. */
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

    /**
     * Handles an attempt that may have run and will not complete. The attempt was released already.
     */
    void onAttemptBroken(Attempt attempt, AttemptFailure failure, String detail, Instant now) {
        onAttemptBroken(attempt, failure, false, detail, now);
    }

    /**
     * Handles an attempt that may have run and will not complete.
     *
     * @param retryCharged whether the retry was charged to the retry budget already
     */
    void onAttemptBroken(
            Attempt attempt,
            AttemptFailure failure,
            boolean retryCharged,
            String detail,
            Instant now) {
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

    /**
     * Retries the requests that failed at the server before the report was requested. The report
     * shows that the server's process has not restarted.
     */
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

    /**
     * Marks the server as unreachable, abandons its idempotent attempts without recent progress,
     * and retries at other servers the requests that wait for its check.
     */
    void onServerUnreachable(BackendServer server, Instant now) {
        server.reachable = false;
        serverChecks.onCheckAnswered(server);
        for (Attempt attempt : List.copyOf(server.attempts)) {
            Duration idle = Duration.between(attempt.lastProgressAt, now);
            boolean stalled = idle.compareTo(context.settings.progressTimeout()) >= 0;
            if (stalled && attempt.request.route.idempotent()) {
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

    /**
     * Removes and returns the requests whose attempts at the server failed and which wait for the
     * server's check.
     */
    List<PendingRequest> takeRequestsAwaitingCheck(BackendServer server) {
        List<PendingRequest> removed = new ArrayList<>(server.awaitingCheck);
        server.awaitingCheck.clear();
        return removed;
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
