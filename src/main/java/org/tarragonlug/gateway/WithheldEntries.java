package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.watching.ServerStatement;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.objectapi.StoredObject;

/** The entries of servers that are not used until they are renewed, the newest of each server. */
final class WithheldEntries {
    /**
     * An entry.
     *
     * @param statement what the entry says of the server
     * @param object the entry as it was read
     * @param listing the entry, decoded
     */
    record Entry(ServerStatement statement, StoredObject object, ServerListing listing) {
        private StoreEra era() {
            return statement.position().era();
        }
    }

    private final Duration renewalTime;
    private final Map<ServerId, Entry> entries = new HashMap<>();

    /** When the first entry of each server was read in the era of its newest one. */
    private final Map<ServerId, Instant> listedSince = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param renewalTime how long an entry must be listed until it counts as renewed
     */
    WithheldEntries(Duration renewalTime) {
        this.renewalTime = renewalTime;
    }

    /** Adds an entry, in the place of an earlier one of the server. */
    void add(Entry entry, Instant now) {
        ServerId id = entry.listing().id();
        Entry before = entries.put(id, entry);
        if (before == null || !before.era().equals(entry.era())) {
            listedSince.put(id, now);
        }
    }

    /** Removes the entry of a server; does nothing if it has none. */
    void remove(ServerId id) {
        entries.remove(id);
        listedSince.remove(id);
    }

    /**
     * Removes and returns the entries that are still listed after the renewal time.
     *
     * @param askedAt when the store was asked last, whose answer has been applied
     * @param present the present era of the store
     */
    List<Entry> takeRenewed(Instant askedAt, StoreEra present) {
        List<Entry> renewed = new ArrayList<>();
        for (Entry entry : List.copyOf(entries.values())) {
            ServerId id = entry.listing().id();
            boolean inTime = !askedAt.isBefore(listedSince.get(id).plus(renewalTime));
            if (inTime && entry.era().equals(present)) {
                remove(id);
                renewed.add(entry);
            }
        }
        return renewed;
    }
}
