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
     * Returns an address that was free a moment ago; another process may take it before it is used.
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
