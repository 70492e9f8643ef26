package org.tarragonlug.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.PlatformStoreStandIn;

class ServerEntriesTest {
    private static final String SERVER = "records-1";
    private static final long INTERVAL = ServerEntries.REPORT_INTERVAL_MILLIS;

    private final IoExecutor ioExecutor = IoThreads.create(1);
    private final PlatformStoreStandIn store = new PlatformStoreStandIn(ioExecutor);
    private final StoreWriter writer = new StoreWriter(store);
    private final ServerEntries entries = new ServerEntries(writer, new SoakChecker(6000));
    private final long start = SoakClock.millis() + INTERVAL;
    private String state = "ready";

    @AfterEach
    void close() {
        store.close();
        ioExecutor.closeAsync().subscribe();
    }

    private ObjectNode entry() {
        return Json.object().put("state", state);
    }

    private Map<String, JsonNode> stored() {
        return store.contents(PlatformKinds.SERVERS);
    }

    // Guards against a store that a server never tells again what the copy lacks.
    @Test
    void entryThatTheCopyLacksIsWrittenAgain() {
        PlatformStoreStandIn.Copy copy = store.copy();
        entries.write(SERVER, this::entry);
        store.returnFrom(copy);
        entries.step(start + INTERVAL);
        assertTrue(stored().containsKey(SERVER));
    }

    // Guards against a leaving that stays lost since the copy has the server as ready.
    @Test
    void leavingThatTheCopyLacksIsWrittenAgain() {
        entries.write(SERVER, this::entry);
        PlatformStoreStandIn.Copy copy = store.copy();
        state = "draining";
        entries.write(SERVER, this::entry);
        store.returnFrom(copy);
        entries.step(start + INTERVAL);
        assertEquals("draining", stored().get(SERVER).path("state").asText());
    }

    // Guards against revisions that rise with each report, which hide what an older copy brings.
    @Test
    void equalEntryIsNotWrittenAgain() {
        entries.write(SERVER, this::entry);
        JsonNode before = stored().get(SERVER);
        entries.step(start + INTERVAL);
        entries.step(start + 2 * INTERVAL);
        assertEquals(before, stored().get(SERVER));
    }

    // Guards against entries of servers that have left and that a copy has brought back for good.
    @Test
    void entryThatNobodyRenewsIsRemovedAfterThreeIntervals() {
        entries.write(SERVER, this::entry);
        PlatformStoreStandIn.Copy copy = store.copy();
        entries.remove(SERVER);
        store.returnFrom(copy);
        entries.step(start);
        entries.step(start + 3 * INTERVAL - 1);
        assertTrue(stored().containsKey(SERVER));
        entries.step(start + 3 * INTERVAL);
        assertFalse(stored().containsKey(SERVER));
    }

    // Guards against writes that a store acknowledges while it is away.
    @Test
    void nothingIsWrittenWhileTheStoreIsAway() {
        writer.setInterrupted(true);
        entries.write(SERVER, this::entry);
        assertFalse(stored().containsKey(SERVER));
        writer.setInterrupted(false);
        entries.step(start + INTERVAL);
        assertTrue(stored().containsKey(SERVER));
    }
}
