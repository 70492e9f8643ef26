package org.tarragonlug.decision.account;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which keys are valid.
 *
 * <p>A key is valid from the write of a configuration that contains it until some time after the
 * write of one that does not. An instance learns of a write later, and does not know exactly when
 * it happened. A removed key is therefore accepted while it is certainly still valid, and refused
 * once it is certainly not; in between the answer is {@link KeyDecision.Kind#ENDING}. A key that is
 * in no configuration seen so far may have been written a moment ago, so it is refused only after
 * {@link #recordAbsent}, and then until a configuration contains it.
 */
public final class KeyChecker {
    /**
     * How long news of the store usually takes to reach an instance, with the pauses of watches.
     */
    static final Duration NEWS_TIME = Duration.ofSeconds(1);

    /** Number of absent keys that are remembered; the oldest ones are forgotten first. */
    static final int MAX_ABSENT = 256;

    private record RemovedKey(ClientAccount account, Instant acceptedUntil, Instant refusedFrom) {}

    private final Duration removalDelay;
    private final Map<KeyDigest, RemovedKey> removed = new HashMap<>();
    private final Set<KeyDigest> absent = new LinkedHashSet<>();
    private AccountDirectory directory = AccountDirectory.EMPTY;

    /**
     * Creates a checker without accounts.
     *
     * @param removalDelay how long a key stays valid after the write of a configuration without it
     */
    public KeyChecker(Duration removalDelay) {
        this.removalDelay = removalDelay;
    }

    /** Returns whether there are accounts, so that requests need keys. */
    public boolean isOn() {
        return !directory.isEmpty();
    }

    /**
     * Replaces the accounts by those of a newer configuration.
     *
     * @param next the accounts
     * @param writtenAfter a time before the write of the configuration
     * @param now the time at which this instance has learnt of it
     */
    public void install(AccountDirectory next, Instant writtenAfter, Instant now) {
        removed.values().removeIf(each -> !now.isBefore(each.refusedFrom()));
        Instant earliestWrite = writtenAfter.isBefore(now) ? writtenAfter : now;
        Instant acceptedUntil = earliestWrite.plus(removalDelay).minus(NEWS_TIME);
        Instant refusedFrom = now.plus(removalDelay);
        for (ClientAccount account : directory.accounts()) {
            for (KeyDigest digest : account.digests()) {
                // Of several accounts with the key, the first one holds it.
                removed.putIfAbsent(digest, new RemovedKey(account, acceptedUntil, refusedFrom));
            }
        }
        for (ClientAccount account : next.accounts()) {
            removed.keySet().removeAll(account.digests());
            absent.removeAll(account.digests());
        }
        directory = next;
    }

    /** Returns what is known about a key now. */
    public KeyDecision decide(KeyDigest digest, Instant now) {
        Optional<ClientAccount> account = directory.find(digest);
        if (account.isPresent()) {
            return KeyDecision.accepted(account.get());
        }
        RemovedKey key = removed.get(digest);
        if (key != null && now.isBefore(key.acceptedUntil())) {
            return KeyDecision.accepted(key.account());
        }
        if (key != null && now.isBefore(key.refusedFrom())) {
            return KeyDecision.ENDING;
        }
        return key != null || absent.contains(digest) ? KeyDecision.REFUSED : KeyDecision.UNKNOWN;
    }

    /** Records that a key is not in the newest configuration of the store either. */
    public void recordAbsent(KeyDigest digest) {
        absent.add(digest);
        if (absent.size() > MAX_ABSENT) {
            absent.remove(absent.iterator().next());
        }
    }
}
