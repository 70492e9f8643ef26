package org.tarragonlug.decision.request;

import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.IdempotencyKey;
import org.tarragonlug.id.RouteName;

/** Derives claim keys by SHA-256, injected because the decisions do no cryptography themselves. */
@FunctionalInterface
public interface ClaimKeys {
    /** Returns the key of the claim for a route and the caller's idempotency key. */
    ClaimKey claimKey(RouteName route, IdempotencyKey key);
}
