package org.tarragonlug.soak;

/**
 * How often things fail in a soak. Gaps are the longest times between the starts of two faults, in
 * milliseconds.
 *
 * @param refusedPercent share of the requests that a server refuses although it could run them
 * @param longestServerGapMillis gap between faults of servers
 * @param longestGatewayGapMillis gap between signals to gateways
 * @param longestStoreGapMillis gap between faults of the store
 * @param longestRestoreGapMillis gap between returns of the store from an older copy; 0 for a store
 *     that states no era and never returns from a copy
 */
record FaultShape(
        int refusedPercent,
        int longestServerGapMillis,
        int longestGatewayGapMillis,
        int longestStoreGapMillis,
        int longestRestoreGapMillis) {
    private static final int LONGEST_GAP_MILLIS = 600_000;

    FaultShape {
        ShapeBounds.checkPercent("refusedPercent", refusedPercent);
        ShapeBounds.check("longestServerGapMillis", longestServerGapMillis, 1, LONGEST_GAP_MILLIS);
        ShapeBounds.check(
                "longestGatewayGapMillis", longestGatewayGapMillis, 1, LONGEST_GAP_MILLIS);
        ShapeBounds.check("longestStoreGapMillis", longestStoreGapMillis, 1, LONGEST_GAP_MILLIS);
        ShapeBounds.check(
                "longestRestoreGapMillis", longestRestoreGapMillis, 0, LONGEST_GAP_MILLIS);
    }

    /** Returns whether the store returns from older copies. */
    boolean restoresStore() {
        return longestRestoreGapMillis > 0;
    }
}
