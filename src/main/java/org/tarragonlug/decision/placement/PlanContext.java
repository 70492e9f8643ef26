package org.tarragonlug.decision.placement;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/** The planner's state that is kept between planning rounds. */
final class PlanContext {
    final WeightStoreLimit storeLimit;
    final OrderManager orders;
    final DemandTracker demand = new DemandTracker();

    /** When the expected ready time of a model was last announced to the instances. */
    final Map<ModelKey, Instant> expectationsSent = new HashMap<>();

    /** When the first demand for a service was reported. */
    final Map<ServiceName, Instant> firstDemand = new HashMap<>();

    PlanContext(WeightStoreLimit storeLimit) {
        this.storeLimit = storeLimit;
        this.orders = new OrderManager(storeLimit);
    }
}
