package org.tarragonlug.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.tarragonlug.runtime.Json;

/**
 * The models and adapters that a server holds, which orders change at once. It has all its models
 * from the start, and adapters only when ordered. Thread-safe.
 */
final class EngineHoldings {
    private static final int ACCEPTED = 202;
    private static final int HOLDS_ALREADY = 200;
    private static final int CONFLICT = 409;

    private final Map<String, Set<String>> adapters = new TreeMap<>();
    private long sequence;

    EngineHoldings(Iterable<String> models) {
        models.forEach(model -> adapters.put(model, new TreeSet<>()));
    }

    /** Carries out an order; returns the status of its answer. */
    synchronized int carryOut(JsonNode order) {
        JsonNode precondition = order.path("precondition");
        Set<String> held = adapters.get(order.path("model").asText());
        String adapter = order.path("adapter").asText();
        if (held == null
                || adapter.isEmpty()
                || precondition.isNumber() && precondition.asLong() != sequence) {
            return CONFLICT;
        }
        boolean changed =
                order.path("op").asText().equals("model_load")
                        ? held.add(adapter)
                        : held.remove(adapter);
        sequence += changed ? 1 : 0;
        return changed ? ACCEPTED : HOLDS_ALREADY;
    }

    /** Returns whether a model, optionally followed by a slash and an adapter, is there. */
    synchronized boolean holds(String name) {
        int slash = name.indexOf('/');
        Set<String> held = adapters.get(slash < 0 ? name : name.substring(0, slash));
        return held != null && (slash < 0 || held.contains(name.substring(slash + 1)));
    }

    /** Returns the number of orders that have changed something. */
    synchronized long sequence() {
        return sequence;
    }

    /** Returns the models as entries and reports list them. */
    synchronized ArrayNode models() {
        ArrayNode models = Json.object().arrayNode();
        adapters.forEach(
                (name, held) -> {
                    ArrayNode names = models.addObject().put("name", name).putArray("adapters");
                    held.forEach(names::add);
                });
        return models;
    }
}
