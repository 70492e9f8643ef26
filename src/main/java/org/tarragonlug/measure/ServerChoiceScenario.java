package org.tarragonlug.measure;

/**
 * Sizes and load of a simulation of the choice of servers.
 *
 * @param instances number of instances that choose
 * @param servers number of servers that hold the model
 * @param domains number of failure domains, over which instances and servers are spread evenly
 * @param slots requests that a server processes at the same time
 * @param queue requests that a server keeps waiting before it rejects others
 * @param use mean share of all slots that is in use
 * @param serviceMillis mean time for which a request occupies a slot
 * @param lostNews share of the messages with totals that are lost
 * @param slowServers number of servers that turn slow when the measurement begins
 * @param slowness by how much longer requests take on slow servers
 * @param speeds how the speeds of the servers differ otherwise
 * @param plain whether the servers belong to a plain service
 */
record ServerChoiceScenario(
        int instances,
        int servers,
        int domains,
        int slots,
        int queue,
        double use,
        double serviceMillis,
        double lostNews,
        int slowServers,
        double slowness,
        ServerSpeeds speeds,
        boolean plain) {
    /** Returns the rate of arrivals over all instances, per second. */
    double requestsPerSecond() {
        return use * servers * slots * 1000 / serviceMillis;
    }
}
