package org.tarragonlug.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The way of one instance to the store, which can be cut. */
final class StoreRelay implements AutoCloseable {
    private final ServerSocket listener;
    private final InetSocketAddress store;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private volatile boolean cut;

    StoreRelay(InetSocketAddress store) throws IOException {
        this.store = store;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void start(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException closed) {
                                // The connection or the relay was closed.
                                return;
                            }
                        },
                        "store-relay");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Closes all connections, and closes new ones at once until it is undone. */
    void setCut(boolean newCut) throws IOException {
        cut = newCut;
        if (newCut) {
            closeAll();
        }
    }

    /** Resets all connections; new ones are relayed. */
    void reset() throws IOException {
        for (Socket socket = sockets.poll(); socket != null; socket = sockets.poll()) {
            reset(socket);
        }
    }

    private static void reset(Socket socket) throws IOException {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException closed) {
            // The other side had closed the connection.
            return;
        }
        socket.close();
    }

    private void closeAll() throws IOException {
        for (Socket socket = sockets.poll(); socket != null; socket = sockets.poll()) {
            socket.close();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket client = listener.accept();
            if (cut) {
                client.close();
                continue;
            }
            Socket server = new Socket(store.getAddress(), store.getPort());
            sockets.add(client);
            sockets.add(server);
            start(() -> copy(client, server));
            start(() -> copy(server, client));
        }
    }

    private static void copy(Socket from, Socket to) throws IOException {
        try (from;
                to) {
            from.getInputStream().transferTo(to.getOutputStream());
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeAll();
    }
}
