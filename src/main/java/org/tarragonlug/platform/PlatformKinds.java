package org.tarragonlug.platform;

import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.objectapi.ObjectName;

/** Kinds and names of the objects in the platform's store. */
public final class PlatformKinds {
    /** What servers say of themselves. */
    public static final String SERVERS = "servers";

    /** What the operator wants. */
    public static final String CONFIGURATION = "config";

    /** The object of {@link #CONFIGURATION} that holds the newest configuration in full. */
    public static final String CURRENT_CONFIGURATION = "main";

    /** Leases for orders to servers; a kind of this system's own. */
    private static final String LEASES = "leases";

    private PlatformKinds() {}

    /** Returns the object that holds the lease of a group of servers. */
    public static ObjectName orderLease(OrderGroup group) {
        return new ObjectName(LEASES, "orders-" + group);
    }
}
