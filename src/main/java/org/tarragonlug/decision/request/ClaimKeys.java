package org.tarragonlug.decision.request;

import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.IdempotencyKey;
import org.tarragonlug.id.RouteName;

/**
 * Derives claim keys by SHA-256. The implementation is injected because the decision packages do
 * not use cryptography themselves.
 */
@FunctionalInterface
public interface ClaimKeys {
    /** Returns the claim key for a route and the caller's idempotency key. */
    ClaimKey claimKey(RouteName route, IdempotencyKey key);
}
