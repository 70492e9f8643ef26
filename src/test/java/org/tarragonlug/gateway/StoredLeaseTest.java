package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.ownership.LeaseRecord;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.Json;

class StoredLeaseTest {
    private static final ObjectName NAME = PlatformKinds.orderLease(new OrderGroup(0));

    private static LeaseRecord record(StoreEra writtenIn, StorePosition position) {
        return new LeaseRecord(
                new InstanceId("a"),
                "a-1",
                "10.0.0.1:1",
                new FencingToken(7),
                3,
                true,
                false,
                writtenIn,
                position);
    }

    private static LeaseRecord decode(JsonNode content, StorePosition position) {
        return StoredLease.decode(new StoredObject(NAME, position, content));
    }

    @Nested
    class WithEra {
        // Guards against a record whose era is taken from the copy in which it was found.
        @Test
        void keepsTheEraInWhichItWasWritten() {
            LeaseRecord written = record(new StoreEra(2), new StorePosition(new StoreEra(2), 9));
            StorePosition inCopy = new StorePosition(new StoreEra(3), 9);
            assertEquals(written.at(inCopy), decode(StoredLease.encode(written), inCopy));
        }
    }

    @Nested
    class WithoutEra {
        // Guards against a record that the release before this one could not read: the fields are
        // those that it writes and reads.
        @Test
        void hasTheFieldsOfTheReleaseBefore() {
            JsonNode encoded = StoredLease.encode(record(StoreEra.NONE, StorePosition.of(9)));
            assertFalse(encoded.has("era"));
            assertEquals(ofReleaseBefore(), encoded);
        }

        // Guards against a record of the release before this one that counts as of the present era.
        @Test
        void recordOfTheReleaseBeforeIsOfNoEra() {
            StorePosition position = new StorePosition(new StoreEra(3), 9);
            assertEquals(record(StoreEra.NONE, position), decode(ofReleaseBefore(), position));
        }

        private static ObjectNode ofReleaseBefore() {
            ObjectNode node = Json.object();
            node.put("formatVersion", 1);
            node.put("holder", "a");
            node.put("process", "a-1");
            node.put("address", "10.0.0.1:1");
            node.put("fence", 7L);
            node.put("renewal", 3L);
            node.put("ordering", true);
            node.put("released", false);
            return node;
        }
    }
}
