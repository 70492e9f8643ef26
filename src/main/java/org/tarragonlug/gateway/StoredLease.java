package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tarragonlug.decision.ownership.LeaseRecord;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.runtime.Json;

/** Converts order leases to and from the JSON objects in the store. */
final class StoredLease {
    private static final int FORMAT_VERSION = 1;

    private StoredLease() {}

    static JsonNode encode(LeaseRecord lease) {
        ObjectNode node = Json.object();
        node.put("formatVersion", FORMAT_VERSION);
        node.put("holder", lease.holder().value());
        node.put("process", lease.process());
        node.put("address", lease.address());
        node.put("fence", lease.fence().value());
        node.put("renewal", lease.renewal());
        node.put("ordering", lease.ordering());
        node.put("released", lease.released());
        if (lease.writtenIn().isStated()) {
            node.put("era", lease.writtenIn().value());
        }
        return node;
    }

    /**
     * Decodes a lease. Its position is that of the stored object. A record without an era was
     * written by a release that does not know eras, or in a store without them.
     *
     * @throws IllegalArgumentException if a field is missing or malformed
     */
    static LeaseRecord decode(StoredObject object) {
        JsonNode node = object.content();
        return new LeaseRecord(
                new InstanceId(JsonFields.text(node, "holder")),
                JsonFields.text(node, "process"),
                JsonFields.text(node, "address"),
                new FencingToken(JsonFields.count(node, "fence")),
                JsonFields.count(node, "renewal"),
                JsonFields.flag(node, "ordering"),
                JsonFields.flag(node, "released"),
                new StoreEra(node.has("era") ? JsonFields.count(node, "era") : 0),
                object.position());
    }
}
