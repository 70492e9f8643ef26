package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;

/**
 * A proxy before a stand-in. On command its open connections go silent for good, without a reset,
 * while new ones work.
 */
final class Proxy {
    final Listener listener;
    private final int target;
    private volatile long silentGeneration = -1;
    private long generation;

    Proxy(int target) throws IOException {
        this.target = target;
        listener = new Listener(this::serve);
    }

    /** Makes all connections that are open now silent. */
    synchronized void silenceOpenConnections() {
        silentGeneration = generation;
        generation++;
    }

    private synchronized long currentGeneration() {
        return generation;
    }

    private void serve(Socket caller) throws Exception {
        long mine = currentGeneration();
        try (Socket server = new Socket(InetAddress.getByName("127.0.0.1"), target)) {
            server.setTcpNoDelay(true);
            Thread back = new Thread(() -> copy(server, caller, mine));
            back.setDaemon(true);
            back.start();
            copy(caller, server, mine);
        }
    }

    private void copy(Socket from, Socket to, long mine) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (mine > silentGeneration) {
                    out.write(buffer, 0, length);
                    out.flush();
                }
            }
            if (mine > silentGeneration) {
                to.close();
            }
        } catch (IOException ended) {
            closeQuietly(to);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // The connection is closed already.
        }
    }
}
