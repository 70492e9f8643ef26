package org.tarragonlug.platform;

import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.objectapi.ObjectName;

/** Kinds and names of objects in the platform's store. */
public final class PlatformKinds {
    /** Listings of servers, which the servers write themselves. */
    public static final String SERVERS = "servers";

    /** Configurations, which the operator writes. */
    public static final String CONFIGURATION = "config";

    /** Name of the object of kind {@link #CONFIGURATION} with the complete newest configuration. */
    public static final String CURRENT_CONFIGURATION = "main";

    /** Order leases. This kind belongs to this system, not to the platform. */
    private static final String LEASES = "leases";

    /** What keeps requests that crash servers from further servers; written by this system. */
    public static final String QUARANTINE = "quarantine";

    /** Name of the only object of kind {@link #QUARANTINE}. */
    public static final String CURRENT_QUARANTINE = "current";

    private PlatformKinds() {}

    /** Returns the name of the object with the complete newest configuration. */
    public static ObjectName currentConfiguration() {
        return new ObjectName(CONFIGURATION, CURRENT_CONFIGURATION);
    }

    /** Returns the name of the object that stores the order lease of a server group. */
    public static ObjectName orderLease(OrderGroup group) {
        return new ObjectName(LEASES, "orders-" + group);
    }
}
