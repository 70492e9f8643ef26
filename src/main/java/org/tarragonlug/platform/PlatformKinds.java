package org.tarragonlug.platform;

import org.tarragonlug.objectapi.ObjectName;

/** Kinds and names of the objects in the platform's store. */
public final class PlatformKinds {
    /** What servers say of themselves. */
    public static final String SERVERS = "servers";

    /** What the operator wants. */
    public static final String CONFIGURATION = "config";

    /** The object of {@link #CONFIGURATION} that holds the newest configuration in full. */
    public static final String CURRENT_CONFIGURATION = "main";

    /** The lease for orders to servers; a kind of this system's own. */
    public static final ObjectName ORDER_LEASE = new ObjectName("leases", "orders");

    private PlatformKinds() {}
}
