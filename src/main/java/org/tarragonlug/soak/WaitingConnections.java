package org.tarragonlug.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections that a server has not accepted. As many as its queue holds keep others from being
 * established, so that gateways wait for connections and give some of them up.
 */
final class WaitingConnections implements AutoCloseable {
    private final List<SocketChannel> channels = new ArrayList<>();

    /**
     * Begins to open connections.
     *
     * @param port port of the server on loopback
     * @param count number of connections
     */
    static WaitingConnections open(int port, int count) {
        WaitingConnections opened = new WaitingConnections();
        try {
            for (int number = 0; number < count; number++) {
                opened.add(port);
            }
        } catch (IOException ended) {
            // The server has ended, so that nobody can connect anyway.
            opened.close();
        }
        return opened;
    }

    private void add(int port) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channels.add(channel);
        channel.configureBlocking(false);
        channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    @Override
    public void close() {
        for (SocketChannel channel : channels) {
            try {
                channel.close();
            } catch (IOException alreadyClosed) {
                // Nothing is left to be closed.
            }
        }
    }
}
