package org.tarragonlug.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports on loopback.
 *
 * <p>A port is free only at the moment of the search, and is bound later. The operating system
 * gives outgoing connections the ports above {@link #HIGHEST_PORT}, so a port from there may be
 * taken in between. Ports below are taken only by programs that ask for them.
 */
public final class FreePort {
    private static final int LOWEST_PORT = 20_000;

    /** Highest port that the usual systems give to no outgoing connection. */
    private static final int HIGHEST_PORT = 32_000;

    private static final int ATTEMPTS = 1000;

    /** The ports found by this process, which may not be bound yet. */
    private static final Set<Integer> FOUND = ConcurrentHashMap.newKeySet();

    private FreePort() {}

    /**
     * Returns a loopback address with a free port, a new one at each call.
     *
     * @throws IllegalStateException if no free port was found
     */
    public static InetSocketAddress find() {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            if (FOUND.add(port) && isFree(port, loopback)) {
                return new InetSocketAddress(loopback, port);
            }
        }
        throw new IllegalStateException("no free port on loopback; end other programs");
    }

    private static boolean isFree(int port, InetAddress loopback) {
        try (ServerSocket socket = new ServerSocket(port, 1, loopback)) {
            return socket.isBound();
        } catch (IOException taken) {
            // Another program listens on the port; the search goes on with another one.
            return false;
        }
    }
}
