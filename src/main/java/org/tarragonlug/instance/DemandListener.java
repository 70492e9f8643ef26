package org.tarragonlug.instance;

import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.id.PoolName;

/** Listener for the demand of this instance's requests. */
@FunctionalInterface
interface DemandListener {
    /** Called on the event loop with the demand for an artifact of a pool. */
    void onDemand(PoolName pool, Demand demand);
}
