package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tarragonlug.standin.PlatformStoreStandIn;

/**
 * A backend server that works on a request until its answer is complete or its connection ends,
 * refuses some requests and sends refusals once more, and breaks some answers off. It records from
 * when to when it worked on which request.
 */
final class WorkingServer implements AutoCloseable {
    /** Number of events of each stream. */
    static final int EVENTS = 10;

    private static final double REFUSED_SHARE = 0.5;

    /** Share of refused streams; few, since moves and resumed streams draw on one budget. */
    private static final double REFUSED_STREAM_SHARE = 0.08;

    private static final double FAULT_SHARE = 0.2;
    private static final int POLL_MILLIS = 5;
    private static final int LONGEST_STEP_MILLIS = 15;
    private static final int LONGEST_SILENCE_MILLIS = 8_000;

    /** What the server does instead of completing an answer. */
    private enum Fault {
        RESET,
        /** Works on, but sends nothing. */
        SILENCE,
        /** Sends the refusal of the same request within its answer. */
        REFUSAL_WITHIN
    }

    /**
     * A time in which the server worked on a request.
     *
     * @param id id of the request
     * @param path path of the request
     * @param beginNanos begin, of the clock of this process
     * @param endNanos end; the latest time if it has not ended
     */
    record Run(String id, String path, long beginNanos, long endNanos) {}

    private final ServerSocket listener;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final AtomicInteger copies = new AtomicInteger();

    /** Starts the server and lists it in the store. */
    WorkingServer(PlatformStoreStandIn store, String id, String service, List<String> models) {
        try {
            listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startThread(this::accept);
        ObjectNode entry = JsonNodeFactory.instance.objectNode();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + listener.getLocalPort());
        entry.put("zone", "home");
        entry.put("slots", 8);
        entry.put("state", "ready");
        entry.put("born", 1);
        var list = entry.putArray("models");
        models.forEach(model -> list.addObject().put("name", model).putArray("adapters"));
        store.put("servers", id, entry);
    }

    /** Returns the runs that have ended. */
    List<Run> runs() {
        return new ArrayList<>(runs);
    }

    /** Returns how many refusals were sent once more. */
    int copies() {
        return copies.get();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "working-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                startThread(() -> new Connection(socket).serve());
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** One connection, which carries one request at a time. */
    private final class Connection {
        private final Socket socket;
        private final StringBuilder unread = new StringBuilder();

        Connection(Socket socket) {
            this.socket = socket;
        }

        void serve() {
            try (socket) {
                socket.setTcpNoDelay(true);
                while (true) {
                    serveRequest();
                }
            } catch (IOException ended) {
                return;
            }
        }

        private void serveRequest() throws IOException {
            String head = readHead();
            String id = find("tarragonlug-request-id", head);
            String path = head.split(" ")[1];
            readBody(Integer.parseInt("0" + find("content-length", head)));
            if (path.startsWith("/tarragonlug/hold-")) {
                send(ScriptedServer.answer(200, "", "", "{\"hold\":\"slot\"}"));
                return;
            }
            if (id.isEmpty()) {
                // A question for the state of the server, which runs nothing.
                send(ScriptedServer.answer(404, "", "", ""));
                return;
            }
            double share = path.startsWith("/issue/") ? REFUSED_SHARE : REFUSED_STREAM_SHARE;
            if (ThreadLocalRandom.current().nextDouble() < share) {
                send(refusal(id));
                sendOnceMoreLater(refusal(id));
                return;
            }
            long begin = System.nanoTime();
            try {
                String last = find("last-event-id", head);
                work(id, path, last.isEmpty() ? 0 : Integer.parseInt(last));
            } finally {
                runs.add(new Run(id, path, begin, System.nanoTime()));
            }
        }

        private void work(String id, String path, int lastEvent) throws IOException {
            boolean fails = ThreadLocalRandom.current().nextDouble() < FAULT_SHARE;
            int failsAt = fails ? ThreadLocalRandom.current().nextInt(EVENTS) : EVENTS;
            pause(LONGEST_STEP_MILLIS);
            if (path.startsWith("/issue/")) {
                String answer = ScriptedServer.success(id, "done");
                if (fails) {
                    // The server states with a first answer only that it did not run a request.
                    send(answer.substring(0, answer.length() - 2));
                    fail(id);
                }
                send(answer);
                return;
            }
            send(
                    "HTTP/1.1 200 OK\r\ntarragonlug-request-id: "
                            + id
                            + "\r\ntarragonlug-response-seal: s\r\n"
                            + "transfer-encoding: chunked\r\n\r\n");
            for (int event = lastEvent + 1; event <= EVENTS; event++) {
                if (event > failsAt) {
                    fail(id);
                }
                pause(LONGEST_STEP_MILLIS);
                String text = "id: " + event + "\ndata: " + id + "\n\n";
                send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
            send("0\r\n\r\n");
        }

        private void fail(String id) throws IOException {
            Fault[] all = Fault.values();
            switch (all[ThreadLocalRandom.current().nextInt(all.length)]) {
                case RESET -> {
                    socket.setSoLinger(true, 0);
                    throw new IOException("reset");
                }
                case SILENCE -> pauseFor(LONGEST_SILENCE_MILLIS);
                default -> {
                    send(refusal(id));
                    copies.incrementAndGet();
                    pauseFor(LONGEST_SILENCE_MILLIS);
                }
            }
            throw new IOException("broken off");
        }

        /** Sends a refusal again, most often while the connection is idle or the next call runs. */
        private void sendOnceMoreLater(String refusal) {
            int millis = ThreadLocalRandom.current().nextInt(LONGEST_STEP_MILLIS);
            startThread(
                    () -> {
                        try {
                            Thread.sleep(millis);
                            send(refusal);
                            copies.incrementAndGet();
                        } catch (IOException | InterruptedException ended) {
                            return;
                        }
                    });
        }

        private void pause(int longestMillis) throws IOException {
            pauseFor(ThreadLocalRandom.current().nextInt(longestMillis));
        }

        /** Waits, and fails as soon as the other side closes the connection. */
        private void pauseFor(int millis) throws IOException {
            long end = System.nanoTime() + millis * 1_000_000L;
            while (System.nanoTime() < end) {
                readMore(POLL_MILLIS);
            }
        }

        private synchronized void send(String bytes) throws IOException {
            OutputStream output = socket.getOutputStream();
            output.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        }

        private String readHead() throws IOException {
            while (unread.indexOf("\r\n\r\n") < 0) {
                readMore(0);
            }
            int end = unread.indexOf("\r\n\r\n") + 4;
            String head = unread.substring(0, end);
            unread.delete(0, end);
            return head;
        }

        private void readBody(int length) throws IOException {
            while (unread.length() < length) {
                readMore(0);
            }
            unread.delete(0, length);
        }

        private void readMore(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            InputStream input = socket.getInputStream();
            try {
                byte[] bytes = new byte[4096];
                int count = input.read(bytes);
                if (count < 0) {
                    throw new IOException("closed");
                }
                unread.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
            } catch (SocketTimeoutException nothingCame) {
                return;
            }
        }
    }

    private static String refusal(String id) {
        return ScriptedServer.answer(503, id, "tarragonlug-not-executed: 1\r\n", "");
    }

    private static String find(String header, String head) {
        Pattern pattern = Pattern.compile("\r\n" + header + ": *(\\S+)", Pattern.CASE_INSENSITIVE);
        Matcher matcher = pattern.matcher(head);
        return matcher.find() ? matcher.group(1) : "";
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
