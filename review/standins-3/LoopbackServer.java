import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP server on a free loopback port, with a thread for each connection. */
abstract class LoopbackServer {
    private static final int BACKLOG = 500;

    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private int port;

    /** Starts to listen: on a free port the first time, later on the same one. */
    final synchronized void listen() throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        port = opened.getLocalPort();
        listener = opened;
        startThread(() -> accept(opened));
    }

    final String address() {
        return "127.0.0.1:" + port;
    }

    /** Closes the listening socket and resets all connections, as a crash does. */
    final synchronized void reset() {
        try {
            listener.close();
        } catch (IOException alreadyClosed) {
            // The connections are reset all the same.
        }
        resetConnections();
    }

    final void resetConnections() {
        sockets.forEach(LoopbackServer::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException alreadyClosed) {
            return;
        }
    }

    static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket from) {
        while (!from.isClosed()) {
            try {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                startThread(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (HttpMessage request = HttpMessage.read(in);
                    request != null;
                    request = HttpMessage.read(in)) {
                answer(request, out);
            }
        } catch (IOException ended) {
            // The other side has closed the connection, or this server was reset.
            return;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    /** Answers a request; an exception closes the connection. */
    abstract void answer(HttpMessage request, OutputStream out)
            throws IOException, InterruptedException;
}
