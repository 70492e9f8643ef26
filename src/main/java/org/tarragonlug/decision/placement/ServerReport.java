package org.tarragonlug.decision.placement;

import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.ModelKey;

/**
 * A report that a server returns on request; it may be some hundred milliseconds old.
 *
 * @param models loaded models, each with its adapters, including adapters that are being loaded
 * @param busy whether an order is in progress
 * @param orderCount number of orders that the server has accepted since its start
 */
public record ServerReport(Map<String, Set<String>> models, boolean busy, long orderCount) {
    /** Tells whether the server holds an adapter. */
    boolean shows(ModelKey adapter) {
        return models.getOrDefault(adapter.model(), Set.of()).contains(adapter.adapter());
    }
}
