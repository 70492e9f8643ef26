package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Set;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.runtime.Json;

/** Writes and reads the stored quarantine: the traits of requests that must not reach servers. */
final class QuarantineRecord {
    private static final int FORMAT_VERSION = 1;

    private QuarantineRecord() {}

    /**
     * Writes a record.
     *
     * @param era the era of the store in which it is written
     */
    static JsonNode encode(Set<RequestTrait> traits, StoreEra era) {
        ObjectNode record = Json.object();
        record.put("formatVersion", FORMAT_VERSION);
        record.put("storeEra", era.value());
        ArrayNode list = record.putArray("traits");
        traits.stream().sorted().forEach(trait -> list.add(trait.toString()));
        return record;
    }

    /** Returns the era in which a record was written; {@link StoreEra#NONE} if it has none. */
    static StoreEra era(JsonNode record) {
        return new StoreEra(Math.max(0, record.path("storeEra").asLong()));
    }

    /**
     * Reads a record. Traits of a kind that this release does not know are left out.
     *
     * @throws IllegalArgumentException if the record has no list of traits
     */
    static Set<RequestTrait> decode(JsonNode record) {
        Set<RequestTrait> traits = new HashSet<>();
        for (JsonNode node : JsonFields.array(record, "traits")) {
            try {
                traits.add(RequestTrait.parse(node.asText()));
            } catch (IllegalArgumentException unknownKind) {
                // Only instances of a newer release recognise such requests.
                continue;
            }
        }
        return traits;
    }
}
