package org.tarragonlug.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.tarragonlug.platform.PlatformKinds;

/**
 * The entries of servers in the store. A server writes its entry again in each report interval,
 * which changes the stored one only if more than the number of the write differs; so a store that
 * has lost an entry or holds an older one gets the present one. An entry that no server writes is
 * removed after some intervals. Thread-safe.
 */
final class ServerEntries {
    static final long REPORT_INTERVAL_MILLIS = 1200;
    private static final int SILENT_INTERVALS = 3;
    private static final String SEQUENCE = "seq";
    private static final String LEAVING = "draining";

    private static final class Entry {
        private final Supplier<ObjectNode> content;
        private long sequence;
        private long writtenMillis;

        private Entry(Supplier<ObjectNode> content) {
            this.content = content;
        }
    }

    private final StoreWriter store;
    private final SoakChecker checker;
    private final Map<String, Entry> entries = new TreeMap<>();

    /** Since when an entry is in the store that no server writes. */
    private final Map<String, Long> silentSince = new HashMap<>();

    ServerEntries(StoreWriter store, SoakChecker checker) {
        this.store = store;
        this.checker = checker;
    }

    /** Writes the entry of a server, and renews it from now on. */
    synchronized void write(String id, Supplier<ObjectNode> content) {
        Entry entry = entries.computeIfAbsent(id, added -> new Entry(content));
        entry.writtenMillis = SoakClock.millis();
        put(id, content.get());
    }

    private void put(String id, ObjectNode content) {
        boolean written = store.put(PlatformKinds.SERVERS, id, content);
        if (written && content.path("state").asText().equals(LEAVING)) {
            checker.onLeavingStored(id, SoakClock.millis());
        }
    }

    /** Renews the entry of a server that has ended no more. */
    synchronized void forget(String id) {
        entries.remove(id);
    }

    /** Removes the entry of a server that has ended. */
    synchronized void remove(String id) {
        entries.remove(id);
        store.remove(PlatformKinds.SERVERS, id);
    }

    /** Renews the entries that are due, and removes those that no server renews. */
    synchronized void step(long millis) {
        Map<String, JsonNode> stored = store.contents(PlatformKinds.SERVERS);
        entries.forEach((id, entry) -> renew(id, entry, stored.get(id), millis));
        silentSince.keySet().removeIf(id -> entries.containsKey(id) || !stored.containsKey(id));
        for (String id : stored.keySet()) {
            if (!entries.containsKey(id)) {
                long since = silentSince.computeIfAbsent(id, seen -> millis);
                if (millis - since >= SILENT_INTERVALS * REPORT_INTERVAL_MILLIS) {
                    store.remove(PlatformKinds.SERVERS, id);
                }
            }
        }
    }

    private void renew(String id, Entry entry, JsonNode stored, long millis) {
        if (millis - entry.writtenMillis < REPORT_INTERVAL_MILLIS) {
            return;
        }
        entry.writtenMillis = millis;
        entry.sequence++;
        ObjectNode content = entry.content.get();
        if (stored == null || !withoutSequence(stored).equals(content)) {
            put(id, content.deepCopy().put(SEQUENCE, entry.sequence));
        }
    }

    private static JsonNode withoutSequence(JsonNode stored) {
        ObjectNode copy = stored.deepCopy();
        copy.remove(SEQUENCE);
        return copy;
    }
}
