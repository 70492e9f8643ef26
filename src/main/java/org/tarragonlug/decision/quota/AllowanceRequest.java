package org.tarragonlug.decision.quota;

import java.util.Map;
import org.tarragonlug.id.AccountName;

/**
 * A borrower's request for allowance. Also sent without demand, because the lender's buckets refill
 * with the time between the requests of each borrower.
 *
 * @param number number of the request, which the answer repeats; the first number of a process is
 *     random, so that no answer to an earlier process is taken for one to this
 * @param advanced units that were spent in advance, by account; accounts without are left out
 * @param waiting units that requests wait for, by account
 * @param extra units that are welcome if nobody needs them, by account
 */
public record AllowanceRequest(
        long number,
        Map<AccountName, Integer> advanced,
        Map<AccountName, Integer> waiting,
        Map<AccountName, Integer> extra) {
    public AllowanceRequest {
        advanced = Map.copyOf(advanced);
        waiting = Map.copyOf(waiting);
        extra = Map.copyOf(extra);
        requirePositive(advanced);
        requirePositive(waiting);
        requirePositive(extra);
    }

    /**
     * Checks amounts that come from another process.
     *
     * @throws IllegalArgumentException if one of them is not positive
     */
    static void requirePositive(Map<AccountName, Integer> amounts) {
        if (amounts.values().stream().anyMatch(amount -> amount <= 0)) {
            throw new IllegalArgumentException("amounts of allowance must be positive");
        }
    }
}
