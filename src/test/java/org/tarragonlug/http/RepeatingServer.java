package org.tarragonlug.http;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/**
 * A TCP server that keeps its connections open and answers each request twice on its connection. It
 * sends the second answer after a delay, also when another request has come in the meantime, and
 * reads that request only then.
 */
public final class RepeatingServer implements AutoCloseable {
    private final ServerSocket listener;
    private final IntFunction<byte[]> answers;
    private final Duration delay;
    private final AtomicInteger requests = new AtomicInteger();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();

    /**
     * Starts the server.
     *
     * @param answers supplies the bytes of an answer by the number of the request, from 0
     * @param delay time between the two answers to a request
     */
    public RepeatingServer(IntFunction<byte[]> answers, Duration delay) {
        this.answers = answers;
        this.delay = delay;
        try {
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start(this::accept);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Refuses further connections; those that are open go on. */
    void acceptNoMore() throws IOException {
        listener.close();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "repeating-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                openSockets.add(socket);
                start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            OutputStream output = socket.getOutputStream();
            while (!socket.isClosed()) {
                RawServer.readRequest(socket.getInputStream());
                byte[] answer = answers.apply(requests.getAndIncrement());
                output.write(answer);
                Thread.sleep(delay.toMillis());
                output.write(answer);
            }
        } catch (IOException | InterruptedException closed) {
            // The client or the test closed the connection.
            return;
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : openSockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
