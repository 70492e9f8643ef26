package org.tarragonlug.decision.request;

import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.RequestId;

/**
 * Claim keys in use at this instance. A key is in use from the arrival of its request to its end,
 * and beyond that while the answer to the claim's write is outstanding.
 */
final class ClaimTracker {
    /** A claim whose request ended before the answer to its write came. */
    record OrphanedClaim(ClaimKey key, OperationId operation) {}

    private final Map<ClaimKey, RequestId> inUse = new HashMap<>();
    private final Map<RequestId, OrphanedClaim> orphans = new HashMap<>();

    boolean isInUse(ClaimKey key) {
        return inUse.containsKey(key);
    }

    /** Returns the request that uses the key; it may have ended. */
    RequestId requestUsing(ClaimKey key) {
        return inUse.get(key);
    }

    void markInUse(ClaimKey key, RequestId request) {
        inUse.put(key, request);
    }

    void markUnused(ClaimKey key) {
        inUse.remove(key);
    }

    /** Keeps the key in use until the answer to the claim's write comes. */
    void addOrphan(PendingRequest request) {
        orphans.put(request.id, new OrphanedClaim(request.claimKey, request.claimOperation));
    }

    /** Returns and frees the claim if its request has ended meanwhile, otherwise null. */
    OrphanedClaim removeOrphan(RequestId request) {
        OrphanedClaim orphan = orphans.remove(request);
        if (orphan != null) {
            inUse.remove(orphan.key());
        }
        return orphan;
    }
}
