package org.tarragonlug.decision.quota;

import java.util.Map;
import org.tarragonlug.id.AccountName;

/**
 * The lender's answer to an {@link AllowanceRequest}.
 *
 * @param number number of the request
 * @param instances number of instances among which the whole is divided; 0 if not known
 * @param granted units granted, by account; accounts without a grant are left out
 * @param waitMillis time in milliseconds until there will be room, for accounts whose waiting
 *     requests did not get all that they need
 */
public record AllowanceNotice(
        long number,
        int instances,
        Map<AccountName, Integer> granted,
        Map<AccountName, Integer> waitMillis) {
    public AllowanceNotice {
        granted = Map.copyOf(granted);
        waitMillis = Map.copyOf(waitMillis);
        AllowanceRequest.requirePositive(granted);
        AllowanceRequest.requirePositive(waitMillis);
    }
}
