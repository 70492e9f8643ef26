package org.tarragonlug.instance;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.request.ClaimState;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.plainservice.ServiceAnswer;

/**
 * Stores the claims of non-idempotent requests in the object API.
 *
 * <p>A claim is created only if it does not exist yet. Of any number of retries of a request at any
 * number of instances, at most one is therefore sent. After a lost answer to a write, the object is
 * read back; it contains the operation id of the write that created it. The end of a claim is
 * written repeatedly until the write succeeds or this process ends. A claim whose process has ended
 * stays STARTED, and later requests with the same key are answered with "may have run".
 */
final class ClaimStore {
    private static final String KIND = "claims";
    private static final int READ_BACK_TRIES = 4;
    private static final Duration READ_BACK_DELAY = Duration.ofMillis(100);
    private static final Duration END_WRITE_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration RETENTION = Duration.ofHours(24);
    private static final Duration SWEEP_PERIOD = Duration.ofMinutes(1);

    /** Longer than any request deadline; an older claim is no longer in progress. */
    private static final Duration MAXIMUM_PROGRESS_TIME = Duration.ofMinutes(30);

    private final InstanceContext context;
    private final ObjectApi objectApi;
    private final PeerMessageDispatcher peers;
    private final ClaimListener listener;
    private final Map<ClaimKey, HeldClaim> heldClaims = new HashMap<>();
    private final Map<RequestId, ServiceAnswer> recordedAnswers = new HashMap<>();
    private final Deque<EndedClaim> endedClaims = new ArrayDeque<>();

    ClaimStore(
            InstanceContext context,
            ObjectApi objectApi,
            PeerMessageDispatcher peers,
            ClaimListener listener) {
        this.context = context;
        this.objectApi = objectApi;
        this.peers = peers;
        this.listener = listener;
    }

    void start() {
        context.every(SWEEP_PERIOD, this::deleteExpired);
    }

    int heldClaimCount() {
        return heldClaims.size();
    }

    void make(RequestCommand.CreateClaim command) {
        StoredClaim claim =
                new StoredClaim(
                        ClaimState.STARTED,
                        command.operation(),
                        context.process(),
                        command.bodyHash(),
                        context.now(),
                        Optional.empty());
        write(command.request(), command.key(), claim, StoredObject.ABSENT);
    }

    void take(RequestCommand.TakeOverClaim command) {
        StoredClaim claim =
                new StoredClaim(
                        ClaimState.STARTED,
                        command.operation(),
                        context.process(),
                        command.bodyHash(),
                        context.now(),
                        Optional.empty());
        write(command.request(), command.key(), claim, Long.parseLong(command.version()));
    }

    private void write(RequestId request, ClaimKey key, StoredClaim claim, long expected) {
        context.onLoop(
                objectApi.write(name(key), claim.toJson(), expected),
                (written, failure) -> {
                    if (failure == null) {
                        onClaimMade(request, key, claim, written.revision());
                        return;
                    }
                    ErrorCode code = Failures.code(failure);
                    if (code == ErrorCode.OBJECT_API_UNAVAILABLE) {
                        listener.onClaimEvent(new RequestEvent.ClaimUnavailable(request));
                    } else {
                        readBack(request, key, claim, expected, READ_BACK_TRIES);
                    }
                });
    }

    private void onClaimMade(RequestId request, ClaimKey key, StoredClaim claim, long version) {
        heldClaims.put(key, new HeldClaim(claim, version));
        listener.onClaimEvent(new RequestEvent.ClaimAcquired(request));
    }

    private void readBack(
            RequestId request, ClaimKey key, StoredClaim claim, long expected, int triesLeft) {
        context.onLoop(
                objectApi.read(name(key)),
                (object, failure) -> {
                    if (failure == null) {
                        resolveOutcome(request, key, claim, expected, object);
                    } else if (triesLeft > 1) {
                        context.after(
                                READ_BACK_DELAY,
                                () -> readBack(request, key, claim, expected, triesLeft - 1));
                    } else {
                        listener.onClaimEvent(new RequestEvent.ClaimOutcomeUnknown(request));
                    }
                });
    }

    private void resolveOutcome(
            RequestId request,
            ClaimKey key,
            StoredClaim claim,
            long expected,
            StoredObject object) {
        if (object.version() == expected || !object.exists()) {
            // The write has not taken effect yet but still may, so the request must not be sent.
            listener.onClaimEvent(new RequestEvent.ClaimOutcomeUnknown(request));
            return;
        }
        try {
            StoredClaim present = StoredClaim.fromJson(object.content());
            if (present.operation().equals(claim.operation())) {
                onClaimMade(request, key, claim, object.version());
            } else {
                onClaimFound(request, present, object.version());
            }
        } catch (IllegalArgumentException | DateTimeException malformed) {
            listener.onClaimEvent(new RequestEvent.ClaimUnavailable(request));
        }
    }

    private void onClaimFound(RequestId request, StoredClaim present, long version) {
        present.answer().ifPresent(answer -> recordedAnswers.put(request, answer));
        boolean inProgress =
                present.state() == ClaimState.STARTED
                        && peers.isAlive(present.process())
                        && present.madeAt().plus(MAXIMUM_PROGRESS_TIME).isAfter(context.now());
        listener.onClaimEvent(
                new RequestEvent.ClaimFound(
                        request,
                        present.state(),
                        present.operation(),
                        present.process(),
                        inProgress,
                        present.bodyHash(),
                        present.answer().map(ServiceAnswer::status).orElse(0),
                        Long.toString(version)));
    }

    /** Removes and returns the recorded answer in the existing claim that a request has found. */
    Optional<ServiceAnswer> takeRecordedAnswer(RequestId request) {
        return Optional.ofNullable(recordedAnswers.remove(request));
    }

    void finish(ClaimKey key, ServiceAnswer answer) {
        end(key, ClaimState.DONE, Optional.of(answer));
    }

    void release(ClaimKey key) {
        end(key, ClaimState.RELEASED, Optional.empty());
    }

    private void end(ClaimKey key, ClaimState state, Optional<ServiceAnswer> answer) {
        HeldClaim claim = heldClaims.remove(key);
        if (claim != null) {
            writeEnd(key, claim.claim.withState(state, answer), claim.version);
        }
    }

    private void writeEnd(ClaimKey key, StoredClaim claim, long expected) {
        context.onLoop(
                objectApi.write(name(key), claim.toJson(), expected),
                (written, failure) -> {
                    if (failure == null) {
                        endedClaims.addLast(new EndedClaim(key, written.revision(), context.now()));
                    } else if (Failures.code(failure) != ErrorCode.WRITE_CONFLICT) {
                        // A conflict means that an earlier write whose answer was lost has taken
                        // effect; only other failures are retried.
                        context.after(END_WRITE_RETRY_DELAY, () -> writeEnd(key, claim, expected));
                    }
                });
    }

    /** Deletes the claims that this process ended more than 24 hours ago. */
    private void deleteExpired() {
        Instant cutoff = context.now().minus(RETENTION);
        while (!endedClaims.isEmpty() && endedClaims.peekFirst().endedAt.isBefore(cutoff)) {
            EndedClaim old = endedClaims.removeFirst();
            objectApi.delete(name(old.key), old.version);
        }
    }

    private static ObjectName name(ClaimKey key) {
        return new ObjectName(KIND, key.value());
    }

    private record HeldClaim(StoredClaim claim, long version) {}

    private record EndedClaim(ClaimKey key, long version, Instant endedAt) {}
}
