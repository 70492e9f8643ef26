package org.tarragonlug.measure;

/**
 * How the speeds of the servers differ in a simulation.
 *
 * @param unsteadyShare share of the servers that are slow at a time; another set each period
 * @param unsteadyFactor by how much longer work takes on them meanwhile
 * @param periodMillis time after which other servers are slow
 * @param lowSpeedShare share of the servers that always work at the low speed
 * @param lowSpeed speed of these servers; 1 is the usual speed
 * @param highSpeed speed of the other servers
 */
record ServerSpeeds(
        double unsteadyShare,
        double unsteadyFactor,
        double periodMillis,
        double lowSpeedShare,
        double lowSpeed,
        double highSpeed) {
    /** All servers work at the usual speed. */
    static final ServerSpeeds EVEN = new ServerSpeeds(0, 1, 600, 0, 1, 1);

    /** 15% of the servers take 2.5 times as long, a different set every 600 ms. */
    static final ServerSpeeds UNSTEADY = new ServerSpeeds(0.15, 2.5, 600, 0, 1, 1);

    /** One of three servers takes 2.5 times as long, another one every 600 ms. */
    static final ServerSpeeds UNSTEADY_PLAIN = new ServerSpeeds(0.34, 2.5, 600, 0, 1, 1);

    /** Like {@link #UNSTEADY}, and a quarter of the servers always work at a low speed. */
    static final ServerSpeeds UNSTEADY_AND_UNEVEN =
            new ServerSpeeds(0.15, 2.5, 600, 0.25, 0.55, 1.2);
}
