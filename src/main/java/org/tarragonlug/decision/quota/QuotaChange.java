package org.tarragonlug.decision.quota;

import org.tarragonlug.id.AccountName;

/**
 * The beginning or end of a time in which an instance refuses requests of an account because of its
 * quota.
 *
 * @param account the account
 * @param refusing whether the time begins
 * @param refused number of requests that were refused in it; 0 at its beginning
 */
public record QuotaChange(AccountName account, boolean refusing, long refused) {}
