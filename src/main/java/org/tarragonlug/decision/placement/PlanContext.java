package org.tarragonlug.decision.placement;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/** What lasts from one round of planning to the next. */
final class PlanContext {
    final WeightStoreLimit storeLimit;
    final OrderManager orders;
    final DemandTracker demand = new DemandTracker();

    /** When the instances were told last when a model is expected. */
    final Map<ModelKey, Instant> expectationsSent = new HashMap<>();

    /** When the first demand for a service was reported. */
    final Map<ServiceName, Instant> firstDemand = new HashMap<>();

    PlanContext(WeightStoreLimit store) {
        this.storeLimit = store;
        this.orders = new OrderManager(store);
    }
}
