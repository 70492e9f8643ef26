package org.tarragonlug.objectapi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.capacity.CapacityRecord;
import org.tarragonlug.decision.capacity.OpenOrder;
import org.tarragonlug.decision.capacity.OrderKind;
import org.tarragonlug.decision.capacity.ServerEntry;
import org.tarragonlug.decision.capacity.ServerState;
import org.tarragonlug.decision.capacity.Slot;
import org.tarragonlug.decision.capacity.SlotState;
import org.tarragonlug.decision.capacity.StandbySlot;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/** The stored form of the capacity record, within one release and across releases. */
class CapacityRecordCodecTest {
    private static final ObjectName NAME = new ObjectName("capacity", "tutoring");
    private static final ProcessId PROCESS = new ProcessId("entry-1-7");
    private static final ServerId SERVER = new ServerId("tutoring-1");

    private final CapacityRecordCodec codec = new CapacityRecordCodec();

    private static CapacityRecord sample() {
        OpenOrder order =
                new OpenOrder(
                        new OperationId("entry-1-7-3"),
                        PROCESS,
                        OrderKind.LOAD,
                        Instant.parse("2026-01-05T08:00:00.123456789Z"));
        Slot slot =
                new Slot(
                        ArtifactId.parse("lift-adapter@2"),
                        Optional.of(ArtifactId.parse("lift@1")),
                        SERVER,
                        1L << 27,
                        SlotState.UNSETTLED,
                        new FencingToken(41),
                        List.of(order));
        StandbySlot standby =
                new StandbySlot(
                        new PoolName("lessons"),
                        SERVER,
                        3L << 30,
                        PROCESS,
                        List.of(ArtifactId.parse("hoist@1")),
                        new FencingToken(1000),
                        Optional.of(ArtifactId.parse("hoist@1")));
        return new CapacityRecord(
                CapacityRecord.FORMAT_VERSION,
                new ServerGroup("tutoring"),
                2001,
                List.of(new ServerEntry(SERVER, 24L << 30, ServerState.LEAVING)),
                List.of(slot),
                List.of(standby),
                Map.of(PROCESS, new OperationId("entry-1-7-9")));
    }

    private CapacityRecord read(JsonNode content) throws TarragonlugException {
        return codec.read(new StoredObject(NAME, 5, content)).orElseThrow();
    }

    @Nested
    class SameRelease {
        /** Guards against a field that is lost on its way through the object API. */
        @Test
        void keepsEveryFieldInRoundTrip() throws Exception {
            assertEquals(sample(), read(codec.write(sample(), null)));
        }

        /** Guards against taking an object that does not exist for an empty record. */
        @Test
        void readsAbsentObjectAsNoRecord() throws Exception {
            JsonNode missing = com.fasterxml.jackson.databind.node.MissingNode.getInstance();
            StoredObject absent = new StoredObject(NAME, StoredObject.ABSENT, missing);
            assertEquals(Optional.empty(), codec.read(absent));
        }

        /** Guards against decisions on a record that is only partly understood. */
        @Test
        void failsOnMalformedRecord() {
            ObjectNode content = codec.write(sample(), null);
            ((ObjectNode) content.at("/slots/0")).put("state", "INVENTED");
            assertThrows(TarragonlugException.class, () -> read(content));
        }
    }

    @Nested
    class OtherReleases {
        /** Guards against a rewrite by an old process that erases what a newer one wrote. */
        @Test
        void keepsFieldsOfNewerReleaseOnRewrite() throws Exception {
            ObjectNode stored = codec.write(sample(), null);
            stored.put("addedLater", 1);
            ((ObjectNode) stored.at("/slots/0")).put("addedLater", 2);
            ((ObjectNode) stored.at("/servers/0")).put("addedLater", 3);
            JsonNode rewritten = codec.write(read(stored), stored);
            assertEquals(1, rewritten.path("addedLater").asInt());
            assertEquals(2, rewritten.at("/slots/0/addedLater").asInt());
            assertEquals(3, rewritten.at("/servers/0/addedLater").asInt());
        }

        /** Guards against a new process that cannot read the record of the last release. */
        @Test
        void readsRecordWithoutOptionalFields() throws Exception {
            ObjectNode stored = codec.write(sample(), null);
            stored.remove("standbySlots");
            ((ObjectNode) stored.at("/slots/0")).remove("baseModel");
            CapacityRecord read = read(stored);
            assertEquals(List.of(), read.standbySlots());
            assertEquals(Optional.empty(), read.slots().get(0).baseModel());
        }
    }
}
