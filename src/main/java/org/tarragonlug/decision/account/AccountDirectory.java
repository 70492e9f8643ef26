package org.tarragonlug.decision.account;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.id.AccountName;

/**
 * The client accounts of one version of the configuration, found by the digests of their keys.
 *
 * <p>Accounts are looked up by a part of the digest, not of the key, so the time that this takes
 * does not help to guess a key. If several accounts list the same key, it belongs to the first of
 * them, so that all instances decide alike.
 */
public final class AccountDirectory {
    /** The directory of a configuration without accounts, in which no request needs a key. */
    public static final AccountDirectory EMPTY = new AccountDirectory(List.of());

    private final Map<AccountName, ClientAccount> accounts = new LinkedHashMap<>();
    private final Map<KeyDigest, ClientAccount> accountsByDigest = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param accounts the accounts in the order of the configuration
     * @throws IllegalArgumentException if two accounts have the same name
     */
    public AccountDirectory(List<ClientAccount> accounts) {
        for (ClientAccount account : accounts) {
            if (this.accounts.put(account.name(), account) != null) {
                throw new IllegalArgumentException(
                        "account " + account.name() + " is listed twice; merge the two entries");
            }
            for (KeyDigest digest : account.digests()) {
                accountsByDigest.putIfAbsent(digest, account);
            }
        }
    }

    /** Returns whether there are no accounts, so that no request needs a key. */
    public boolean isEmpty() {
        return accounts.isEmpty();
    }

    /** Returns all accounts in the order of the configuration. */
    public Collection<ClientAccount> accounts() {
        return Collections.unmodifiableCollection(accounts.values());
    }

    /** Returns the quotas of the accounts that have one. */
    public Map<AccountName, Quota> quotas() {
        Map<AccountName, Quota> quotas = new LinkedHashMap<>();
        accounts.forEach(
                (name, account) -> account.quota().ifPresent(quota -> quotas.put(name, quota)));
        return quotas;
    }

    /** Returns the account with a name; empty if there is none. */
    public Optional<ClientAccount> account(AccountName name) {
        return Optional.ofNullable(accounts.get(name));
    }

    /** Returns the account that holds a key; empty if the key is unknown. */
    public Optional<ClientAccount> find(KeyDigest digest) {
        return Optional.ofNullable(accountsByDigest.get(digest));
    }
}
