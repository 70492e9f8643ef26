package org.tarragonlug.decision.account;

import java.util.Optional;

/**
 * What is known about a key.
 *
 * @param kind what is known
 * @param account the account that holds the key; empty unless the key is accepted
 */
public record KeyDecision(Kind kind, Optional<ClientAccount> account) {
    /** What may be known about a key. */
    public enum Kind {
        /** The key is valid. */
        ACCEPTED,
        /** The key is not valid. */
        REFUSED,
        /** The key is not in the configuration in force, and its absence is not recorded. */
        UNKNOWN
    }

    static final KeyDecision REFUSED = new KeyDecision(Kind.REFUSED, Optional.empty());
    static final KeyDecision UNKNOWN = new KeyDecision(Kind.UNKNOWN, Optional.empty());

    static KeyDecision accepted(ClientAccount account) {
        return new KeyDecision(Kind.ACCEPTED, Optional.of(account));
    }
}
