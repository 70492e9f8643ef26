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
    private static final Duration UNAVAILABLE_RETRY = Duration.ofSeconds(5);
    private static final Duration WORKING_RETRY = Duration.ofSeconds(1);

    private final CoordinatorContext context;
    private final RequestEndings endings;
    private final Dispatcher dispatcher;

    ClaimHandler(CoordinatorContext context, RequestEndings endings, Dispatcher dispatcher) {
        this.context = context;
        this.endings = endings;
        this.dispatcher = dispatcher;
    }

    void made(RequestId id, Instant now) {
        PendingRequest request = claiming(id, true);
        if (request == null) {
            return;
        }
        request.claimHeld = true;
        if (request.server.isUsable() && !context.quarantine.isCondemned(request.fingerprint)) {
            dispatcher.send(request, now);
        } else {
            unreserve(request, now);
            context.enqueue(request, now);
        }
    }

    void found(RequestEvent.ClaimFound event, Instant now) {
        PendingRequest current = context.requests.get(event.request());
        boolean own = current != null && event.operation().equals(current.claimOperation);
        if (own && event.state() == ClaimState.STARTED) {
            made(event.request(), now);
            return;
        }
        PendingRequest request = claiming(event.request(), false);
        if (request == null) {
            return;
        }
        if (event.state() == ClaimState.RELEASED) {
            context.add(
                    new RequestCommand.TakeClaim(
                            request.id,
                            request.claimKey,
                            request.claimOperation,
                            request.description.body(),
                            event.version()));
            return;
        }
        unreserve(request, now);
        if (!event.body().equals(request.description.body())) {
            endings.refuse(request, RefusalReason.KEY_REUSED, "claim=" + request.claimKey, now);
        } else if (event.state() == ClaimState.DONE) {
            endings.forwardRecorded(request, event.status(), now);
        } else {
            started(request, event, now);
        }
    }

    void unavailable(RequestId id, Instant now) {
        PendingRequest request = claiming(id, false);
        if (request != null) {
            refuseUnclaimed(request, "the claim cannot be recorded", now);
        }
    }

    /** The claim may exist or come to exist, but the request was not sent and never will be. */
    void outcomeUnknown(RequestId id, Instant now) {
        PendingRequest request = claiming(id, true);
        if (request != null) {
            context.add(new RequestCommand.ReleaseClaim(request.claimKey, request.claimOperation));
            refuseUnclaimed(request, "the claim's outcome is unknown", now);
        }
    }

    private void started(PendingRequest request, RequestEvent.ClaimFound event, Instant now) {
        RefusalReason reason =
                event.holderWorking()
                        ? RefusalReason.DUPLICATE_IN_PROGRESS
                        : RefusalReason.OUTCOME_UNKNOWN;
        endings.refuse(
                request,
                reason,
                Execution.MAY_HAVE_RUN,
                event.holderWorking() ? Optional.of(WORKING_RETRY) : Optional.empty(),
                "claimed by process=" + event.holder(),
                now);
    }

    private void refuseUnclaimed(PendingRequest request, String detail, Instant now) {
        unreserve(request, now);
        endings.refuse(
                request,
                RefusalReason.CLAIM_UNAVAILABLE,
                Optional.of(UNAVAILABLE_RETRY),
                detail,
                now);
    }

    /** Returns the request if it still waits for its claim; otherwise releases a made claim. */
    private PendingRequest claiming(RequestId id, boolean mayExist) {
        ClaimTracker.Orphan orphan = context.claims.takeOrphan(id);
        if (orphan != null) {
            if (mayExist) {
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
