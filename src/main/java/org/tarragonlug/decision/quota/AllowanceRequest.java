package org.tarragonlug.decision.quota;

import java.util.Map;
import org.tarragonlug.id.AccountName;

/**
 * A borrower's request for allowance. Also sent without demand, because the lender's buckets refill
 * with the time between the requests of each borrower.
 *
 * @param number number of the request, which the answer repeats; the first number of a process is
 *     random, so that no answer to an earlier process is taken for one to this
 * @param needed units that were spent in advance or that requests wait for, by account; accounts
 *     without need are left out
 * @param extra units that are expected to be needed until the next request, by account
 */
public record AllowanceRequest(
        long number, Map<AccountName, Integer> needed, Map<AccountName, Integer> extra) {
    public AllowanceRequest {
        needed = Map.copyOf(needed);
        extra = Map.copyOf(extra);
    }
}
