package org.tarragonlug.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.runtime.Addresses;

/**
 * Decodes the listings that servers write into the store.
 *
 * <p>An entry in which a required field is missing or has another type may come from another
 * writer. Decoding it fails with an {@link IllegalArgumentException}, and it does not count as a
 * server. The field {@code seq} of an entry counts its writes, and not the orders that the server
 * has accepted.
 */
public final class ServerEntryDecoder {
    private ServerEntryDecoder() {}

    /**
     * Decodes an entry.
     *
     * @param object the stored entry; its name is the server's id
     * @return the listing
     * @throws IllegalArgumentException if a required field is missing or malformed
     */
    public static ServerListing decode(StoredObject object) {
        JsonNode entry = object.content();
        String address = JsonFields.text(entry, "address");
        if (Addresses.parse(address).filter(parsed -> parsed.getPort() > 0).isEmpty()) {
            throw new IllegalArgumentException("field address is not an IP address with a port");
        }
        JsonNode available = entry.path("available");
        return new ServerListing(
                new ServerId(object.name().name()),
                new ServiceName(JsonFields.text(entry, "service")),
                address,
                new FailureDomain(JsonFields.text(entry, "zone")),
                JsonFields.smallCount(entry, "slots"),
                state(JsonFields.text(entry, "state")),
                entry.path("born").asLong(),
                models(entry.path("models")),
                names(available.path("in_memory")),
                names(available.path("on_disk")));
    }

    /**
     * Returns how often the server had written its entry in its present run; empty if the entry
     * does not tell.
     */
    public static OptionalLong writeNumber(StoredObject object) {
        JsonNode number = object.content().path("seq");
        return number.isIntegralNumber() && number.canConvertToLong()
                ? OptionalLong.of(number.longValue())
                : OptionalLong.empty();
    }

    private static ListedState state(String text) {
        return switch (text) {
            case "ready" -> ListedState.READY;
            case "draining" -> ListedState.LEAVING;
            default ->
                    throw new IllegalArgumentException("field state has an unknown value: " + text);
        };
    }

    /** Decodes a list of models with their adapters; entries and reports have the same format. */
    static Map<String, Set<String>> models(JsonNode list) {
        Map<String, Set<String>> models = new HashMap<>();
        for (JsonNode node : list) {
            JsonNode name = node.path("name");
            if (name.isTextual() && !name.textValue().isEmpty()) {
                models.put(name.textValue(), names(node.path("adapters")));
            }
        }
        return models;
    }

    /** Decodes a list of names. A version after an at sign is removed from the name. */
    static Set<String> names(JsonNode list) {
        Set<String> names = new HashSet<>();
        for (JsonNode node : list) {
            String text = node.isTextual() ? node.textValue() : node.path("name").asText();
            int at = text.indexOf('@');
            String name = at < 0 ? text : text.substring(0, at);
            if (!name.isEmpty()) {
                names.add(name);
            }
        }
        return names;
    }
}
