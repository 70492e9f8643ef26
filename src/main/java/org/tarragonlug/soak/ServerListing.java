package org.tarragonlug.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.tarragonlug.runtime.Json;

/**
 * What a server of a soak says of itself in the store and in its reports.
 *
 * @param service service that it belongs to
 * @param port port on loopback
 * @param failureDomain its failure domain
 * @param slots requests that it runs at once
 * @param modelNames the models that it holds, with all their adapters
 * @param adapterNames the adapters of each model that it holds from the start
 * @param takesOrders whether it carries out orders
 */
record ServerListing(
        String service,
        int port,
        String failureDomain,
        int slots,
        List<String> modelNames,
        List<String> adapterNames,
        boolean takesOrders) {
    /** Returns the models as entries and reports list them. */
    ArrayNode models() {
        ArrayNode models = Json.object().arrayNode();
        for (String name : modelNames) {
            ArrayNode adapters = models.addObject().put("name", name).putArray("adapters");
            adapterNames.forEach(adapters::add);
        }
        return models;
    }

    /**
     * Returns the entry in the store.
     *
     * @param state state of the server
     * @param bornMillis when it has started, in Unix milliseconds
     * @param models the models that it holds now, as {@link #models} returns them
     */
    ObjectNode entry(String state, long bornMillis, ArrayNode models) {
        ObjectNode entry = Json.object();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + port);
        entry.put("zone", failureDomain);
        entry.put("slots", slots);
        entry.put("state", state);
        entry.put("born", bornMillis);
        entry.set("models", models);
        return entry;
    }
}
