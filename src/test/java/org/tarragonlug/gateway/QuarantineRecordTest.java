package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.StoreEra;

class QuarantineRecordTest {
    private static final RequestTrait PART = RequestTrait.parse("part:5c1e07a2");
    private static final RequestTrait CONTENT = RequestTrait.parse("content:12ab");

    @Test
    void recordIsReadAsItWasWritten() {
        Set<RequestTrait> traits = Set.of(PART, CONTENT);
        JsonNode record = QuarantineRecord.encode(traits, new StoreEra(3));
        assertEquals(traits, QuarantineRecord.decode(record));
        assertEquals(new StoreEra(3), QuarantineRecord.era(record));
    }

    // Guards against a quarantine that is lost because a newer release added a kind of trait.
    @Test
    void unknownKindsAreLeftOut() {
        String record =
                "{\"formatVersion\": 2, \"traits\": [\"colour:red\", \"part:5c1e07a2\", 7]}";
        assertEquals(Set.of(PART), QuarantineRecord.decode(JsonFields.parse(record)));
    }

    @Test
    void recordWithoutTraitsIsRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> QuarantineRecord.decode(JsonFields.parse("{}")));
    }
}
