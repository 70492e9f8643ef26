package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.decision.Invariant;

/** Ends each request exactly once, and checks the invariants that must hold at the end. */
final class RequestCompletion {
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_AFTER = Duration.ofMinutes(1);

    /** HTTP status recorded in the claim of a completed generation. */
    private static final int GENERATED_STATUS = 200;

    private final CoordinatorContext context;

    RequestCompletion(CoordinatorContext context) {
        this.context = context;
    }

    /** Ends a generation whose tokens have all been forwarded. */
    void complete(Attempt attempt, int tokens, String checksum, Instant now) {
        PendingRequest request = attempt.request;
        context.checkInvariant(
                tokens == request.stream.nextOffset(),
                Invariant.ANSWER_COMPLETE,
                request.id,
                "tokens=" + tokens + " forwarded=" + request.stream.nextOffset());
        finishClaim(attempt, GENERATED_STATUS);
        end(request, Execution.RAN, now);
        if (!request.callerDisconnected) {
            context.add(new RequestCommand.CompleteAnswer(request.id, tokens, checksum));
        }
    }

    void forwardAnswer(Attempt attempt, int status, Instant now) {
        PendingRequest request = attempt.request;
        finishClaim(attempt, status);
        end(request, Execution.RAN, now);
        if (!request.callerDisconnected) {
            context.add(new RequestCommand.ForwardAnswer(request.id, attempt.id, status));
        }
    }

    void forwardRecordedAnswer(PendingRequest request, int status, Instant now) {
        end(request, Execution.RAN, now);
        context.add(new RequestCommand.ForwardRecordedAnswer(request.id, request.claimKey, status));
    }

    void refuse(PendingRequest request, RefusalReason reason, String detail, Instant now) {
        refuse(request, reason, Optional.empty(), detail, now);
    }

    /** Refuses a request. The stated execution follows from the attempts of the request. */
    void refuse(
            PendingRequest request,
            RefusalReason reason,
            Optional<Duration> retryAfter,
            String detail,
            Instant now) {
        Execution execution = request.mayHaveRun ? Execution.MAY_HAVE_RUN : Execution.NOT_RUN;
        refuse(request, reason, execution, retryAfter, detail, now);
    }

    void refuse(
            PendingRequest request,
            RefusalReason reason,
            Execution execution,
            Optional<Duration> retryAfter,
            String detail,
            Instant now) {
        context.checkInvariant(
                execution != Execution.NOT_RUN
                        || !request.mayHaveRun && request.stream.nextOffset() == 0,
                Invariant.REFUSAL_TRUE,
                request.id,
                "reason=" + reason + " but the request may have run");
        end(request, execution, now);
        if (!request.callerDisconnected) {
            context.add(
                    new RequestCommand.Refuse(
                            request.id,
                            reason,
                            execution,
                            retryAfter.map(RequestCompletion::clampRetryAfter),
                            detail));
        }
    }

    /** Refuses a request whose deadline is about to pass. */
    void expire(PendingRequest request, Instant now) {
        Attempt attempt = request.attempt;
        if (attempt != null) {
            // Without this sample, a server that is too slow for any deadline would count as not
            // measured, and a server that is not measured is assumed to be fast.
            int tokens = request.stream.nextOffset() - attempt.startOffset;
            attempt.server.recordExpiredAttempt(Duration.between(attempt.sentAt, now), tokens);
        }
        String state = request.state.toString().toLowerCase(Locale.ROOT);
        refuse(
                request,
                RefusalReason.DEADLINE_EXCEEDED,
                Optional.of(request.target.expectedWait(request.route, request.priority, now)),
                "state=" + state + " attempts_without_progress=" + request.attemptsWithoutProgress,
                now);
    }

    /**
     * Ends a request whose caller has disconnected, without an answer. A running attempt with a
     * claim continues, so that its end is recorded in the claim.
     */
    void onCallerDisconnected(PendingRequest request, Instant now) {
        request.callerDisconnected = true;
        if (request.state == PendingRequest.State.RUNNING && request.claimHeld) {
            return;
        }
        end(request, request.mayHaveRun ? Execution.MAY_HAVE_RUN : Execution.NOT_RUN, now);
    }

    /**
     * Refuses all requests that match. Intended for rare events only, because it costs a pass over
     * all requests.
     */
    void refuseAll(
            Predicate<PendingRequest> filter, RefusalReason reason, String detail, Instant now) {
        for (PendingRequest request : new ArrayList<>(context.requests.values())) {
            if (filter.test(request)) {
                refuse(request, reason, detail, now);
            }
        }
    }

    private void end(PendingRequest request, Execution execution, Instant now) {
        context.checkInvariant(
                request.state != PendingRequest.State.ENDED,
                Invariant.REQUEST_ANSWERED_IN_TIME,
                request.id,
                "the request was ended twice");
        context.checkInvariant(
                !now.isAfter(request.deadline.plus(context.settings.tolerance())),
                Invariant.REQUEST_ANSWERED_IN_TIME,
                request.id,
                "ended_at=" + now + " deadline=" + request.deadline);
        releaseResources(request, now);
        if (request.claimHeld && execution == Execution.NOT_RUN) {
            context.add(new RequestCommand.ReleaseClaim(request.claimKey, request.claimOperation));
        }
        if (request.claimKey != null && request.state != PendingRequest.State.CLAIMING) {
            context.claims.markUnused(request.claimKey);
        }
        request.state = PendingRequest.State.ENDED;
        context.timers.cancel(request.expiryTimer);
        request.usage.bytesHeld -= request.description.bodyBytes();
        context.requests.remove(request.id);
        if (request.callerDisconnected) {
            context.add(new RequestCommand.DiscardRequest(request.id));
        }
    }

    private void releaseResources(PendingRequest request, Instant now) {
        switch (request.state) {
            case WAITING -> context.dequeue(request);
            case CLAIMING -> {
                context.unreserve(request, request.server, now, request.isolated);
                context.claims.addOrphan(request);
            }
            case RUNNING -> {
                if (request.attempt != null) {
                    context.abandon(request.attempt);
                }
            }
            case VERIFYING -> request.server.awaitingCheck.remove(request);
            default -> {
                // The request holds no resources after its end.
            }
        }
    }

    private void finishClaim(Attempt attempt, int status) {
        PendingRequest request = attempt.request;
        if (request.claimHeld) {
            context.add(
                    new RequestCommand.FinishClaim(
                            request.id,
                            attempt.id,
                            request.claimKey,
                            request.claimOperation,
                            status));
        }
    }

    static Duration clampRetryAfter(Duration retryAfter) {
        if (retryAfter.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return retryAfter.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : retryAfter;
    }
}
