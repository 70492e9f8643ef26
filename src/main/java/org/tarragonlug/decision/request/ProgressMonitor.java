package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;

/**
 * Finds attempts that make no progress. Each attempt has one timer, which looks at the time of the
 * last token when it is due; so a token costs no timer operation.
 *
 * <p>Before the first token the time allowed follows the usual time to it, as a long prompt or a
 * plain service may take longer than any fixed limit; meanwhile the server is checked over a new
 * connection. A non-idempotent attempt is never given up: it ends at its deadline.
 */
final class ProgressMonitor {
    private static final double FIRST_PROGRESS_FACTOR = 4;
    private static final Duration DEFAULT_FIRST_PROGRESS_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration MAX_FIRST_PROGRESS_TIMEOUT = Duration.ofSeconds(30);

    private final CoordinatorContext context;
    private final RetryPolicy retryPolicy;

    ProgressMonitor(CoordinatorContext context, RetryPolicy retries) {
        this.context = context;
        this.retryPolicy = retries;
    }

    void watch(Attempt attempt) {
        attempt.progressTimer = new TimerHeap.Timer(now -> checkProgress(attempt, now));
        context.timers.schedule(
                attempt.progressTimer, attempt.sentAt.plus(context.settings.progressTimeout()));
    }

    private void checkProgress(Attempt attempt, Instant now) {
        Duration timeout = context.settings.progressTimeout();
        Instant silentAt = attempt.lastProgressAt.plus(timeout);
        if (silentAt.isAfter(now)) {
            context.timers.schedule(attempt.progressTimer, silentAt);
            return;
        }
        // A recent report answers for all attempts at the server, however many are quiet.
        if (attempt.server.reportFetchedAt.plus(timeout).isBefore(now)) {
            retryPolicy.checkServer(attempt.server, now);
        }
        Duration allowed = attempt.hasProgressed() ? timeout : firstProgressTimeout(attempt, timeout);
        boolean late = !attempt.lastProgressAt.plus(allowed).isAfter(now);
        boolean abandon =
                late
                        && attempt.request.route.idempotent()
                        && (attempt.hasProgressed() || context.retryBudget.tryTake());
        if (abandon) {
            attempt.server.recordFailure();
            context.abandon(attempt);
            retryPolicy.onAttemptBroken(attempt, AttemptFailure.SILENT, true, "no progress", now);
        } else {
            context.timers.schedule(attempt.progressTimer, now.plus(timeout));
        }
    }

    private static Duration firstProgressTimeout(Attempt attempt, Duration least) {
        Average usual = attempt.request.target.firstProgressMillis;
        if (usual.isEmpty()) {
            return DEFAULT_FIRST_PROGRESS_TIMEOUT;
        }
        Duration timeout = Duration.ofNanos((long) (usual.value() * FIRST_PROGRESS_FACTOR * 1e6));
        if (timeout.compareTo(least) < 0) {
            return least;
        }
        return timeout.compareTo(MAX_FIRST_PROGRESS_TIMEOUT) > 0 ? MAX_FIRST_PROGRESS_TIMEOUT : timeout;
    }
}
