package org.tarragonlug.soak;

/**
 * Load under which gateways run short of memory for bodies, or of time to stop.
 *
 * @param largeBodyPercent share of the requests with a large body
 * @param largestBodyBytes size of the largest body
 * @param longWorkPercent share of the requests on which servers work long
 * @param longestWorkMillis longest work of these
 * @param drainSeconds time that a gateway has for requests in progress when it stops
 */
record PressureShape(
        int largeBodyPercent,
        int largestBodyBytes,
        int longWorkPercent,
        int longestWorkMillis,
        int drainSeconds) {
    /** Small bodies, short work and a long drain, which leave gateways enough of both. */
    static final PressureShape DEFAULT = new PressureShape(5, 30_000, 0, 1, 8);

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
