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
final class SilenceWatch {
    private static final double USUAL_FIRST_FACTOR = 4;
    private static final Duration UNKNOWN_FIRST = Duration.ofSeconds(5);
    private static final Duration LONGEST_FIRST = Duration.ofSeconds(30);

    private final CoordinatorContext context;
    private final RetryPolicy retries;

    SilenceWatch(CoordinatorContext context, RetryPolicy retries) {
        this.context = context;
        this.retries = retries;
    }

    void watch(Attempt attempt) {
        attempt.progress = new TimerHeap.Timer(now -> due(attempt, now));
        context.timers.schedule(
                attempt.progress, attempt.sentAt.plus(context.settings.progressTimeout()));
    }

    private void due(Attempt attempt, Instant now) {
        Duration timeout = context.settings.progressTimeout();
        Instant silentAt = attempt.progressAt.plus(timeout);
        if (silentAt.isAfter(now)) {
            context.timers.schedule(attempt.progress, silentAt);
            return;
        }
        // A recent report answers for all attempts at the server, however many are quiet.
        if (attempt.server.reportFetchedAt.plus(timeout).isBefore(now)) {
            retries.check(attempt.server, now);
        }
        Duration allowed = attempt.hasProgressed() ? timeout : firstTimeout(attempt, timeout);
        boolean late = !attempt.progressAt.plus(allowed).isAfter(now);
        boolean abandon =
                late
                        && attempt.request.route.idempotent()
                        && (attempt.hasProgressed() || context.budget.tryTake());
        if (abandon) {
            attempt.server.failed();
            context.abandon(attempt);
            retries.broken(attempt, AttemptFailure.SILENT, true, "no progress", now);
        } else {
            context.timers.schedule(attempt.progress, now.plus(timeout));
        }
    }

    private static Duration firstTimeout(Attempt attempt, Duration least) {
        Average usual = attempt.request.target.firstProgress;
        if (usual.isEmpty()) {
            return UNKNOWN_FIRST;
        }
        Duration timeout = Duration.ofNanos((long) (usual.value() * USUAL_FIRST_FACTOR * 1e6));
        if (timeout.compareTo(least) < 0) {
            return least;
        }
        return timeout.compareTo(LONGEST_FIRST) > 0 ? LONGEST_FIRST : timeout;
    }
}
