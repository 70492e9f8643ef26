package org.tarragonlug.measure;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.request.ClaimState;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.RequestId;

/** Simulates the idempotency claims in the object API, as far as the coordinator sees them. */
public final class SimulatedClaims {
    private static final ProcessId CLAIMING_PROCESS = new ProcessId("simulated");

    private record Claim(
            ClaimState state, OperationId operation, Fingerprint body, int status, int version) {}

    private final Map<ClaimKey, Claim> claims = new HashMap<>();

    RequestEvent make(RequestCommand.CreateClaim command) {
        Claim made = new Claim(ClaimState.STARTED, command.operation(), command.bodyHash(), 0, 1);
        Claim present = claims.putIfAbsent(command.key(), made);
        return present == null
                ? new RequestEvent.ClaimAcquired(command.request())
                : claimFound(command.request(), present);
    }

    RequestEvent take(RequestCommand.TakeOverClaim command) {
        Claim present = claims.get(command.key());
        if (!Integer.toString(present.version()).equals(command.version())) {
            return claimFound(command.request(), present);
        }
        int version = present.version() + 1;
        claims.put(
                command.key(),
                new Claim(ClaimState.STARTED, command.operation(), command.bodyHash(), 0, version));
        return new RequestEvent.ClaimAcquired(command.request());
    }

    void finish(RequestCommand.FinishClaim command) {
        rewrite(command.key(), command.operation(), ClaimState.DONE, command.status());
    }

    void release(RequestCommand.ReleaseClaim command) {
        rewrite(command.key(), command.operation(), ClaimState.RELEASED, 0);
    }

    /** Returns the state of a claim, or an empty optional if there is no claim for the key. */
    public Optional<ClaimState> state(ClaimKey key) {
        return Optional.ofNullable(claims.get(key)).map(Claim::state);
    }

    private void rewrite(ClaimKey key, OperationId operation, ClaimState state, int status) {
        Claim present = claims.get(key);
        if (present != null && present.operation().equals(operation)) {
            int version = present.version() + 1;
            claims.put(key, new Claim(state, operation, present.body(), status, version));
        }
    }

    private static RequestEvent claimFound(RequestId request, Claim claim) {
        return new RequestEvent.ClaimFound(
                request,
                claim.state(),
                claim.operation(),
                CLAIMING_PROCESS,
                false,
                claim.body(),
                claim.status(),
                Integer.toString(claim.version()));
    }
}
