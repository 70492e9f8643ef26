package org.tarragonlug.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Finds free ports on loopback. */
final class FreePort {
    private FreePort() {}

    /**
     * Returns a loopback address with a port that was free during this call. Another process may
     * take the port before the caller binds it.
     */
    static InetSocketAddress find() {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
            return new InetSocketAddress(loopback, socket.getLocalPort());
        } catch (IOException failure) {
            throw new UncheckedIOException("no free port on loopback", failure);
        }
    }
}
