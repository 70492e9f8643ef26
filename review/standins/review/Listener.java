package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on a loopback port and serves each on a thread. */
final class Listener {
    interface Handler {
        void serve(Socket socket) throws Exception;
    }

    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Listener(Handler handler) throws IOException {
        server = new ServerSocket(0, 1000, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(() -> accept(handler));
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(Handler handler) {
        while (true) {
            Socket socket;
            try {
                socket = server.accept();
                socket.setTcpNoDelay(true);
            } catch (IOException closed) {
                return;
            }
            open.add(socket);
            Thread thread = new Thread(() -> serve(handler, socket));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void serve(Handler handler, Socket socket) {
        try (socket) {
            handler.serve(socket);
        } catch (Exception ended) {
            // The peer closed the connection, or this stand-in was stopped.
        } finally {
            open.remove(socket);
        }
    }

    int port() {
        return server.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** Stops listening and closes all connections, as the end of a process does. */
    void stop() throws IOException {
        server.close();
        for (Socket each : open) {
            each.close();
        }
    }
}
