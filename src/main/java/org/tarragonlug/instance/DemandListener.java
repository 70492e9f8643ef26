package org.tarragonlug.instance;

import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.id.PoolName;

/** Receives the demand of this instance's requests. */
@FunctionalInterface
interface DemandListener {
    /** Called on the event loop. */
    void onDemand(PoolName pool, Demand demand);
}
