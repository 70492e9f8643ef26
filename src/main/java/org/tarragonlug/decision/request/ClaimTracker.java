package org.tarragonlug.decision.request;

import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.RequestId;

/**
 * Tracks the claim keys in use at this instance. A key is in use from the arrival of its request
 * until the request ends, and after that until the result of an outstanding claim write arrives.
 */
final class ClaimTracker {
    /** A claim whose request ended before the result of the claim write arrived. */
    record OrphanedClaim(ClaimKey key, OperationId operation) {}

    private final Map<ClaimKey, RequestId> inUse = new HashMap<>();
    private final Map<RequestId, OrphanedClaim> orphans = new HashMap<>();

    boolean isInUse(ClaimKey key) {
        return inUse.containsKey(key);
    }

    /**
     * Returns the request that uses the key, or null if the key is not in use. The request may have
     * ended.
     */
    RequestId requestUsing(ClaimKey key) {
        return inUse.get(key);
    }

    void markInUse(ClaimKey key, RequestId request) {
        inUse.put(key, request);
    }

    void markUnused(ClaimKey key) {
        inUse.remove(key);
    }

    /** Keeps the key in use until the result of the claim write arrives. */
    void addOrphan(PendingRequest request) {
        orphans.put(request.id, new OrphanedClaim(request.claimKey, request.claimOperation));
    }

    /**
     * Removes and returns the claim if its request ended before the result of the claim write
     * arrived, otherwise returns null. The key is then no longer in use.
     */
    OrphanedClaim removeOrphan(RequestId request) {
        OrphanedClaim orphan = orphans.remove(request);
        if (orphan != null) {
            inUse.remove(orphan.key());
        }
        return orphan;
    }
}
