package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.id.RequestId;

/**
 * Handles the answers to the writing of claims. A claim that arrives for a request that has ended
 * is released, as that request was not sent.
 */
final class ClaimHandler {
    private static final Duration UNAVAILABLE_RETRY_AFTER = Duration.ofSeconds(5);
    private static final Duration IN_PROGRESS_RETRY_AFTER = Duration.ofSeconds(1);

    private final CoordinatorContext context;
    private final RequestCompletion completion;
    private final Dispatcher dispatcher;

    ClaimHandler(CoordinatorContext context, RequestCompletion endings, Dispatcher dispatcher) {
        this.context = context;
        this.completion = endings;
        this.dispatcher = dispatcher;
    }

    void onClaimAcquired(RequestId id, Instant now) {
        PendingRequest request = findClaimingRequest(id, true);
        if (request == null) {
            return;
        }
        request.claimHeld = true;
        if (request.server.isUsable() && !context.quarantine.isQuarantined(request.fingerprint)) {
            dispatcher.send(request, now);
        } else {
            unreserve(request, now);
            context.enqueue(request, now);
        }
    }

    void onClaimFound(RequestEvent.ClaimFound event, Instant now) {
        PendingRequest current = context.requests.get(event.request());
        boolean own = current != null && event.operation().equals(current.claimOperation);
        if (own && event.state() == ClaimState.STARTED) {
            onClaimAcquired(event.request(), now);
            return;
        }
        PendingRequest request = findClaimingRequest(event.request(), false);
        if (request == null) {
            return;
        }
        if (event.state() == ClaimState.RELEASED) {
            context.add(
                    new RequestCommand.TakeOverClaim(
                            request.id,
                            request.claimKey,
                            request.claimOperation,
                            request.description.bodyHash(),
                            event.version()));
            return;
        }
        unreserve(request, now);
        if (!event.bodyHash().equals(request.description.bodyHash())) {
            completion.refuse(request, RefusalReason.KEY_REUSED, "claim=" + request.claimKey, now);
        } else if (event.state() == ClaimState.DONE) {
            completion.forwardRecordedAnswer(request, event.status(), now);
        } else {
            refuseStarted(request, event, now);
        }
    }

    void onClaimUnavailable(RequestId id, Instant now) {
        PendingRequest request = findClaimingRequest(id, false);
        if (request != null) {
            refuseUnclaimed(request, "the claim cannot be recorded", now);
        }
    }

    /** The claim may exist or come to exist, but the request was not sent and never will be. */
    void onClaimOutcomeUnknown(RequestId id, Instant now) {
        PendingRequest request = findClaimingRequest(id, true);
        if (request != null) {
            context.add(new RequestCommand.ReleaseClaim(request.claimKey, request.claimOperation));
            refuseUnclaimed(request, "the claim's outcome is unknown", now);
        }
    }

    private void refuseStarted(PendingRequest request, RequestEvent.ClaimFound event, Instant now) {
        RefusalReason reason =
                event.inProgress()
                        ? RefusalReason.DUPLICATE_IN_PROGRESS
                        : RefusalReason.OUTCOME_UNKNOWN;
        completion.refuse(
                request,
                reason,
                Execution.MAY_HAVE_RUN,
                event.inProgress() ? Optional.of(IN_PROGRESS_RETRY_AFTER) : Optional.empty(),
                "claimed by process=" + event.creator(),
                now);
    }

    private void refuseUnclaimed(PendingRequest request, String detail, Instant now) {
        unreserve(request, now);
        completion.refuse(
                request,
                RefusalReason.CLAIM_UNAVAILABLE,
                Optional.of(UNAVAILABLE_RETRY_AFTER),
                detail,
                now);
    }

    /** Returns the request if it still waits for its claim; otherwise releases a made claim. */
    private PendingRequest findClaimingRequest(RequestId id, boolean claimMayExist) {
        ClaimTracker.OrphanedClaim orphan = context.claims.removeOrphan(id);
        if (orphan != null) {
            if (claimMayExist) {
                context.add(new RequestCommand.ReleaseClaim(orphan.key(), orphan.operation()));
            }
            return null;
        }
        PendingRequest request = context.requests.get(id);
        boolean claiming = request != null && request.state == PendingRequest.State.CLAIMING;
        return claiming ? request : null;
    }

    private void unreserve(PendingRequest request, Instant now) {
        context.unreserve(request, request.server, now, request.isolated);
        request.state = PendingRequest.State.WAITING;
    }
}
