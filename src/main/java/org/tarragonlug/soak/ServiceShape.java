package org.tarragonlug.soak;

/**
 * The servers of a service in a soak.
 *
 * @param servers number of servers
 * @param slots requests that a server runs at once
 */
record ServiceShape(int servers, int slots) {
    ServiceShape {
        ShapeBounds.check("servers", servers, 1, 200);
        ShapeBounds.check("slots", slots, 1, 1000);
    }
}
