package org.tarragonlug.decision.account;

import java.util.Optional;

/**
 * What a request states about the account that it belongs to.
 *
 * @param state whether the request has a key
 * @param digest digest of the key; empty unless the state is {@link State#KEY}
 */
public record Credential(State state, Optional<KeyDigest> digest) {
    /** Whether a request has a key. */
    public enum State {
        /** The request states nothing. */
        ABSENT,
        /** The request states something that cannot be a key. */
        MALFORMED,
        /** The request has a key, known or unknown. */
        KEY
    }

    /** The credential of a request without one. */
    public static final Credential ABSENT = new Credential(State.ABSENT, Optional.empty());

    /** The credential of a request whose credential is no key. */
    public static final Credential MALFORMED = new Credential(State.MALFORMED, Optional.empty());

    public Credential {
        if (digest.isPresent() != (state == State.KEY)) {
            throw new IllegalArgumentException("exactly a credential with a key has a digest");
        }
    }

    /** Returns the credential of a request with a key. */
    public static Credential of(KeyDigest digest) {
        return new Credential(State.KEY, Optional.of(digest));
    }
}
