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
 * Keeps the claims of non-idempotent requests in the object API.
 *
 * <p>A claim is created on condition that it does not exist, so of any number of tries at any
 * number of instances one alone is sent. After a lost answer the object is read back: it holds the
 * operation id of the write that made it. The end of a claim is written as often as it takes while
 * this process lives; a claim whose holder died stays STARTED, which is answered "may have run".
 */
final class ClaimStore {
    private static final String KIND = "claims";
    private static final int READ_BACK_TRIES = 4;
    private static final Duration READ_BACK_DELAY = Duration.ofMillis(100);
    private static final Duration END_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration RETENTION = Duration.ofHours(24);
    private static final Duration SWEEP_PERIOD = Duration.ofMinutes(1);

    /** Longer than any deadline: a claim that old is not in progress any more. */
    private static final Duration LONGEST_PROGRESS = Duration.ofMinutes(30);

    private final InstanceContext context;
    private final ObjectApi objectApi;
    private final PeerSwitch peers;
    private final ClaimListener listener;
    private final Map<ClaimKey, Held> held = new HashMap<>();
    private final Map<RequestId, ServiceAnswer> recorded = new HashMap<>();
    private final Deque<Ended> ended = new ArrayDeque<>();

    ClaimStore(
            InstanceContext context,
            ObjectApi objectApi,
            PeerSwitch peers,
            ClaimListener listener) {
        this.context = context;
        this.objectApi = objectApi;
        this.peers = peers;
        this.listener = listener;
    }

    void start() {
        context.every(SWEEP_PERIOD, this::deleteOld);
    }

    int heldClaims() {
        return held.size();
    }

    void make(RequestCommand.CreateClaim make) {
        StoredClaim claim =
                new StoredClaim(
                        ClaimState.STARTED,
                        make.operation(),
                        context.process(),
                        make.bodyHash(),
                        context.now(),
                        Optional.empty());
        write(make.request(), make.key(), claim, StoredObject.ABSENT);
    }

    void take(RequestCommand.TakeOverClaim take) {
        StoredClaim claim =
                new StoredClaim(
                        ClaimState.STARTED,
                        take.operation(),
                        context.process(),
                        take.bodyHash(),
                        context.now(),
                        Optional.empty());
        write(take.request(), take.key(), claim, Long.parseLong(take.version()));
    }

    private void write(RequestId request, ClaimKey key, StoredClaim claim, long expected) {
        context.onLoop(
                objectApi.write(name(key), claim.toJson(), expected),
                (version, failure) -> {
                    if (failure == null) {
                        made(request, key, claim, version);
                        return;
                    }
                    ErrorCode code = Failures.code(failure);
                    if (code == ErrorCode.OBJECT_API_UNAVAILABLE) {
                        listener.claimEvent(new RequestEvent.ClaimUnavailable(request));
                    } else {
                        readBack(request, key, claim, expected, READ_BACK_TRIES);
                    }
                });
    }

    private void made(RequestId request, ClaimKey key, StoredClaim claim, long version) {
        held.put(key, new Held(claim, version));
        listener.claimEvent(new RequestEvent.ClaimAcquired(request));
    }

    private void readBack(
            RequestId request, ClaimKey key, StoredClaim claim, long expected, int triesLeft) {
        context.onLoop(
                objectApi.read(name(key)),
                (object, failure) -> {
                    if (failure == null) {
                        resolve(request, key, claim, expected, object);
                    } else if (triesLeft > 1) {
                        context.after(
                                READ_BACK_DELAY,
                                () -> readBack(request, key, claim, expected, triesLeft - 1));
                    } else {
                        listener.claimEvent(new RequestEvent.ClaimOutcomeUnknown(request));
                    }
                });
    }

    private void resolve(
            RequestId request,
            ClaimKey key,
            StoredClaim claim,
            long expected,
            StoredObject object) {
        if (object.version() == expected || !object.exists()) {
            // The write has not taken effect; it may still do so, so nothing may be sent.
            listener.claimEvent(new RequestEvent.ClaimOutcomeUnknown(request));
            return;
        }
        try {
            StoredClaim present = StoredClaim.read(object.content());
            if (present.operation().equals(claim.operation())) {
                made(request, key, claim, object.version());
            } else {
                found(request, present, object.version());
            }
        } catch (IllegalArgumentException | DateTimeException malformed) {
            listener.claimEvent(new RequestEvent.ClaimUnavailable(request));
        }
    }

    private void found(RequestId request, StoredClaim present, long version) {
        present.answer().ifPresent(answer -> recorded.put(request, answer));
        boolean working =
                present.state() == ClaimState.STARTED
                        && peers.isAlive(present.holder())
                        && present.madeAt().plus(LONGEST_PROGRESS).isAfter(context.now());
        listener.claimEvent(
                new RequestEvent.ClaimFound(
                        request,
                        present.state(),
                        present.operation(),
                        present.holder(),
                        working,
                        present.body(),
                        present.answer().map(ServiceAnswer::status).orElse(0),
                        Long.toString(version)));
    }

    /** Returns and forgets the answer recorded in the claim that a request found. */
    Optional<ServiceAnswer> takeRecorded(RequestId request) {
        return Optional.ofNullable(recorded.remove(request));
    }

    void finish(ClaimKey key, ServiceAnswer answer) {
        end(key, ClaimState.DONE, Optional.of(answer));
    }

    void release(ClaimKey key) {
        end(key, ClaimState.RELEASED, Optional.empty());
    }

    private void end(ClaimKey key, ClaimState state, Optional<ServiceAnswer> answer) {
        Held claim = held.remove(key);
        if (claim != null) {
            writeEnd(key, claim.claim.with(state, answer), claim.version);
        }
    }

    private void writeEnd(ClaimKey key, StoredClaim claim, long expected) {
        context.onLoop(
                objectApi.write(name(key), claim.toJson(), expected),
                (version, failure) -> {
                    if (failure == null) {
                        ended.addLast(new Ended(key, version, context.now()));
                    } else if (Failures.code(failure) != ErrorCode.WRITE_CONFLICT) {
                        // A conflict means that an earlier try took effect after a lost answer.
                        context.after(END_RETRY_DELAY, () -> writeEnd(key, claim, expected));
                    }
                });
    }

    /** Deletes the claims that this process ended a day ago. */
    private void deleteOld() {
        Instant before = context.now().minus(RETENTION);
        while (!ended.isEmpty() && ended.peekFirst().at.isBefore(before)) {
            Ended old = ended.removeFirst();
            objectApi.delete(name(old.key), old.version);
        }
    }

    private static ObjectName name(ClaimKey key) {
        return new ObjectName(KIND, key.value());
    }

    private record Held(StoredClaim claim, long version) {}

    private record Ended(ClaimKey key, long version, Instant at) {}
}
