package org.tarragonlug.decision.account;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.tarragonlug.id.AccountName;

/**
 * A client account: who sends requests, by which keys it is recognised, and what it may use.
 *
 * @param name name of the account
 * @param digests digests of the account's keys
 * @param priority priority of its requests, 0 is the most urgent; empty if that of the route holds
 * @param quota what it may use over all instances; empty if not limited
 */
public record ClientAccount(
        AccountName name, Set<KeyDigest> digests, OptionalInt priority, Optional<Quota> quota) {
    public ClientAccount {
        digests = Set.copyOf(digests);
    }
}
