package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tarragonlug.decision.ownership.LeaseRecord;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.runtime.Json;

/** The stored form of the lease for orders. */
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
        return node;
    }

    /** Decodes a lease; a malformed one is an {@link IllegalArgumentException}. */
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
                object.version());
    }
}
