package org.tarragonlug.decision.account;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which keys are valid.
 *
 * <p>The newest known configuration decides alone. A key that it has removed is refused at once,
 * because an instance that went on with an older configuration for some keys could accept a key
 * after it has served a request that only the newer configuration allows. A key that is in no
 * configuration seen so far may have been written a moment ago, so it is refused only after {@link
 * #recordAbsent}, and then until a configuration contains it.
 */
public final class KeyChecker {
    /** Number of absent keys that are remembered; the oldest ones are forgotten first. */
    static final int MAX_ABSENT = 256;

    private final Set<KeyDigest> absent = new LinkedHashSet<>();
    private AccountDirectory directory = AccountDirectory.EMPTY;

    /** Returns whether there are accounts, so that requests need keys. */
    public boolean isOn() {
        return !directory.isEmpty();
    }

    /** Replaces the accounts by those of a newer configuration. */
    public void install(AccountDirectory next) {
        for (ClientAccount account : directory.accounts()) {
            for (KeyDigest digest : account.digests()) {
                if (next.find(digest).isEmpty()) {
                    recordAbsent(digest);
                }
            }
        }
        next.accounts().forEach(account -> absent.removeAll(account.digests()));
        directory = next;
    }

    /** Returns what is known about a key. */
    public KeyDecision decide(KeyDigest digest) {
        Optional<ClientAccount> account = directory.find(digest);
        if (account.isPresent()) {
            return KeyDecision.accepted(account.get());
        }
        return absent.contains(digest) ? KeyDecision.REFUSED : KeyDecision.UNKNOWN;
    }

    /**
     * Records that a key is not valid: a newer configuration removed it, or a read of the store did
     * not show it. Only the last {@value #MAX_ABSENT} are kept; a forgotten key is looked up again.
     */
    public void recordAbsent(KeyDigest digest) {
        absent.add(digest);
        if (absent.size() > MAX_ABSENT) {
            absent.remove(absent.iterator().next());
        }
    }
}
