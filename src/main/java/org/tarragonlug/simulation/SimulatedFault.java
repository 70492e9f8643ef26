package org.tarragonlug.simulation;

import java.time.Duration;

/**
 * A fault of a simulated deployment.
 *
 * @param kind what fails
 * @param at start, from the start of the traffic
 * @param servers number of servers that are concerned
 * @param length how long the fault lasts
 * @param factor by how much slower slow servers work, or the share of the requests with the part
 *     that crashes servers
 */
record SimulatedFault(Kind kind, Duration at, int servers, Duration length, double factor) {
    /** Kinds of faults. */
    enum Kind {
        /** Servers crash and restart without models; their disks survive. */
        CRASH,
        /** As {@link #CRASH}, but the listing of a server stays as it was until the restart. */
        SILENT_CRASH,
        /** Servers are replaced by new ones that hold nothing and have empty disks. */
        REPLACE,
        /** As {@link #REPLACE}, but the listing of a replaced server stays until it expires. */
        SILENT_REPLACE,
        /**
         * Servers restart and load what they held before they are listed again. They work slower
         * for a while after that.
         */
        RESTART,
        /** Servers work slower, while their answers say nothing of it. */
        SLOW,
        /** The planner gives no orders. */
        NO_PLANNING,
        /**
         * A share of the requests for busy models has a part in its prompt that crashes each server
         * that begins to answer it.
         */
        CRASHING_PART
    }
}
