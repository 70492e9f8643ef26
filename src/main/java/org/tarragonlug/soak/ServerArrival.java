package org.tarragonlug.soak;

import org.tarragonlug.id.RequestId;

/**
 * A request as it has arrived at a server.
 *
 * @param id the request
 * @param server id of the server's start that has received it
 * @param connection port of the connection's other end, which the gateway's log names as well
 * @param remainingMillis time that the gateway left the server, which is shorter for a later send
 *     of the request; 0 if it stated none
 */
record ServerArrival(RequestId id, String server, int connection, long remainingMillis) {
    @Override
    public String toString() {
        return server + ":" + connection;
    }
}
