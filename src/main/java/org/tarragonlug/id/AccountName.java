package org.tarragonlug.id;

/**
 * Names a client account, unique within a configuration.
 *
 * @param value the non-empty text form
 */
public record AccountName(String value) implements Comparable<AccountName> {
    public AccountName {
        Identifiers.requireNonEmpty(value, "AccountName");
    }

    @Override
    public int compareTo(AccountName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
