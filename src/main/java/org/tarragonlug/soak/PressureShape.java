package org.tarragonlug.soak;

/**
 * What presses gateways beyond the faults of a soak: bodies that need more memory than there is,
 * and work that outlasts the time in which a gateway stops.
 *
 * @param largeBodyPercent share of the requests with a large body
 * @param largestBodyBytes size of the largest body
 * @param longWorkPercent share of the requests on which servers work long
 * @param longestWorkMillis longest work of these
 * @param drainSeconds time in which a gateway stops
 */
record PressureShape(
        int largeBodyPercent,
        int largestBodyBytes,
        int longWorkPercent,
        int longestWorkMillis,
        int drainSeconds) {
    /** Presses gateways hardly. */
    static final PressureShape LOW = new PressureShape(5, 30_000, 0, 1, 8);

    private static final int LARGEST_BODY_BYTES = 1_000_000;
    private static final int LONGEST_WORK_MILLIS = 3000;
    private static final int LONGEST_DRAIN_SECONDS = 8;

    PressureShape {
        ShapeBounds.checkPercent("largeBodyPercent", largeBodyPercent);
        ShapeBounds.check("largestBodyBytes", largestBodyBytes, 1, LARGEST_BODY_BYTES);
        ShapeBounds.checkPercent("longWorkPercent", longWorkPercent);
        ShapeBounds.check("longestWorkMillis", longestWorkMillis, 1, LONGEST_WORK_MILLIS);
        ShapeBounds.check("drainSeconds", drainSeconds, 1, LONGEST_DRAIN_SECONDS);
    }
}
