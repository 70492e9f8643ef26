package org.tarragonlug.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards connections to a target and can make the open or the new ones silent. */
final class SilentRelay implements AutoCloseable {
    private final ServerSocket server;
    private final InetSocketAddress target;
    private volatile boolean silenceNew;
    private final List<SocketPair> pairs = new CopyOnWriteArrayList<>();

    SilentRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        run(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    int connections() {
        return pairs.size();
    }

    /** Sets whether connections that are opened from now on are silent from their first byte. */
    void silenceNewConnections(boolean silent) {
        silenceNew = silent;
    }

    void silenceOpenConnections() {
        pairs.forEach(pair -> pair.silent = true);
    }

    /** Closes all open connections; bytes that are on their way may be lost. */
    void closeOpenConnections() throws IOException {
        for (SocketPair pair : pairs) {
            pair.clientSocket.close();
            pair.targetSocket.close();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket clientSocket = server.accept();
            Socket targetSocket = new Socket(target.getAddress(), target.getPort());
            SocketPair pair = new SocketPair(clientSocket, targetSocket);
            pair.silent = silenceNew;
            pairs.add(pair);
            run(() -> pair.copy(clientSocket, targetSocket));
            run(() -> pair.copy(targetSocket, clientSocket));
        }
    }

    private static void run(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (SocketPair pair : pairs) {
            pair.clientSocket.close();
            pair.targetSocket.close();
        }
    }

    private interface Task {
        void run() throws IOException;
    }

    private static final class SocketPair {
        private final Socket clientSocket;
        private final Socket targetSocket;
        private volatile boolean silent;

        SocketPair(Socket clientSocket, Socket targetSocket) {
            this.clientSocket = clientSocket;
            this.targetSocket = targetSocket;
        }

        /**
         * Copies bytes from one socket to the other. While the pair is silent, the bytes are read
         * and dropped, and the close of one socket is not passed on to the other.
         */
        void copy(Socket from, Socket to) throws IOException {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            byte[] buffer = new byte[8192];
            int count = input.read(buffer);
            while (count >= 0) {
                if (!silent) {
                    output.write(buffer, 0, count);
                    output.flush();
                }
                count = input.read(buffer);
            }
            if (!silent) {
                to.close();
            }
        }
    }
}
