package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Takes the times of answers, from which the paces of servers are learnt.
 *
 * <p>Of a stream, the time between events counts: it depends neither on the queue of the server nor
 * on the length of the prompt or the answer. Of a plain answer, the whole time counts if the server
 * probably had a free slot, so that a queue is not taken for slow work.
 *
 * <p>A pace is taken from the head of an answer only. The event at the end of a stream repeats the
 * load of the head, which is old by then.
 */
final class AnswerTimer {
    /** Events between the first and the last one from which on the time between them counts. */
    private static final long MIN_EVENTS = 6;

    private final Fleet fleet;

    AnswerTimer(Fleet fleet) {
        this.fleet = fleet;
    }

    void onHead(OpenAttempt attempt, Optional<ReportedLoad> load, Instant now) {
        load.ifPresent(stated -> attempt.server.pace().recordStated(stated.pace(), now));
    }

    void onEvent(OpenAttempt attempt, long eventId, Instant now) {
        if (attempt.firstEventAt == null) {
            attempt.firstEventAt = now;
            attempt.firstEventId = eventId;
        }
    }

    /**
     * Records the time of a successful answer to the primary attempt of a request.
     *
     * @param megabytes size of the model; 0 for a plain service
     */
    void onAnswered(
            PendingForward forward, Optional<ReportedLoad> load, double megabytes, Instant now) {
        OpenAttempt attempt = forward.primary;
        if (attempt.streaming) {
            recordStream(attempt, forward.lastEventId, megabytes, now);
            return;
        }
        onHead(attempt, load, now);
        if (forward.request.model().isEmpty() && attempt.sentToFreeSlot) {
            record(attempt, megabytes, millis(attempt.sentAt, now), now);
        }
    }

    private void recordStream(
            OpenAttempt attempt, long lastEventId, double megabytes, Instant now) {
        long events = lastEventId - attempt.firstEventId;
        if (attempt.firstEventAt != null && events >= MIN_EVENTS) {
            record(attempt, megabytes, millis(attempt.firstEventAt, now) / events, now);
        }
    }

    private void record(OpenAttempt attempt, double megabytes, double millis, Instant now) {
        if (millis > 0) {
            fleet.recordAnswerTime(attempt.server, megabytes, millis, now);
        }
    }

    private static double millis(Instant from, Instant to) {
        return Duration.between(from, to).toNanos() / 1e6;
    }
}
