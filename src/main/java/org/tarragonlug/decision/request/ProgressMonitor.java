package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;

/**
 * Detects attempts that make no progress. Each attempt has one timer, which compares the time of
 * the last token with the timeout when the timer is due. Therefore, a token costs no timer
 * operation.
 *
 * <p>Until the first token, the allowed time is a multiple of the average time to the first token,
 * because a long prompt or a plain service may take longer than any fixed limit. During this time,
 * the server is checked over a new connection. A non-idempotent attempt is never abandoned by this
 * class; its request ends at the deadline.
 */
final class ProgressMonitor {
    private static final double FIRST_PROGRESS_FACTOR = 4;
    private static final Duration DEFAULT_FIRST_PROGRESS_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration MAX_FIRST_PROGRESS_TIMEOUT = Duration.ofSeconds(30);

    private final CoordinatorContext context;
    private final RetryPolicy retryPolicy;

    ProgressMonitor(CoordinatorContext context, RetryPolicy retryPolicy) {
        this.context = context;
        this.retryPolicy = retryPolicy;
    }

    void watch(Attempt attempt) {
        attempt.progressTimer = new TimerHeap.Timer(now -> checkProgress(attempt, now));
        context.timers.schedule(
                attempt.progressTimer, attempt.sentAt.plus(context.settings.progressTimeout()));
    }

    private void checkProgress(Attempt attempt, Instant now) {
        Duration timeout = context.settings.progressTimeout();
        Instant timeoutAt = attempt.lastProgressAt.plus(timeout);
        if (timeoutAt.isAfter(now)) {
            context.timers.schedule(attempt.progressTimer, timeoutAt);
            return;
        }
        // A recent report shows that the server is alive, so that no attempt at this server needs a
        // check, however many of them make no progress.
        if (attempt.server.reportFetchedAt.plus(timeout).isBefore(now)) {
            retryPolicy.checkServer(attempt.server, now);
        }
        Duration allowed =
                attempt.hasProgressed() ? timeout : firstProgressTimeout(attempt, timeout);
        boolean late = !attempt.lastProgressAt.plus(allowed).isAfter(now);
        boolean abandon =
                late
                        && attempt.request.route.idempotent()
                        && (attempt.hasProgressed() || context.retryBudget.tryTake());
        if (abandon) {
            attempt.server.recordFailure();
            context.abandon(attempt);
            retryPolicy.onAttemptBroken(
                    attempt,
                    AttemptFailure.SILENT,
                    true,
                    "no progress within the allowed time",
                    now);
        } else {
            context.timers.schedule(attempt.progressTimer, now.plus(timeout));
        }
    }

    private static Duration firstProgressTimeout(Attempt attempt, Duration minimum) {
        Average average = attempt.request.target.firstProgressMillis;
        if (average.isEmpty()) {
            return DEFAULT_FIRST_PROGRESS_TIMEOUT;
        }
        Duration timeout = Duration.ofNanos((long) (average.value() * FIRST_PROGRESS_FACTOR * 1e6));
        if (timeout.compareTo(minimum) < 0) {
            return minimum;
        }
        return timeout.compareTo(MAX_FIRST_PROGRESS_TIMEOUT) > 0
                ? MAX_FIRST_PROGRESS_TIMEOUT
                : timeout;
    }
}
