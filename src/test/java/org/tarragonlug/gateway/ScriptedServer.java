package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongFunction;
import org.tarragonlug.standin.PlatformStoreStandIn;

/**
 * A backend server that keeps connections and answers each request with the bytes of a script,
 * which need not be what the protocol allows. It is listed in the store.
 */
final class ScriptedServer implements AutoCloseable {
    /** Returns the bytes that answer a request. */
    interface Script {
        /**
         * Answers a request.
         *
         * @param request what was received
         * @param number number of the request at the server, from 1
         * @param onConnection number of the request on its connection, from 1
         */
        Answer answer(Request request, int number, int onConnection);

        /**
         * May answer a request of which only the head has been read. The body is read when this
         * method returns.
         *
         * @param head the request without its body
         * @return whether the request was answered
         */
        default boolean answerHead(Request head) {
            return false;
        }
    }

    /** Sends bytes on a connection at any time. One that is used as a lock keeps others waiting. */
    static final class Sender {
        private final Socket socket;
        private volatile boolean open = true;

        Sender(Socket socket) {
            this.socket = socket;
        }

        /** Sends bytes, unless the connection is closed. */
        synchronized void send(String bytes) {
            try {
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException closed) {
                open = false;
            }
        }

        /** Ends what the server sends; the connection stays open in the other direction. */
        synchronized void end() {
            try {
                socket.shutdownOutput();
            } catch (IOException closed) {
                open = false;
            }
        }

        /** Resets the connection. */
        synchronized void reset() {
            open = false;
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException closed) {
                // The other end has closed the connection.
                return;
            }
        }

        /** Returns whether neither end is known to have closed the connection. */
        boolean isOpen() {
            return open;
        }
    }

    /**
     * What to send.
     *
     * @param bytes the bytes
     * @param end how the connection goes on
     * @param flood supplies what is sent afterwards, part by part, until the connection is closed;
     *     null for nothing
     * @param later what is sent after the bytes, before the next request is read
     */
    record Answer(String bytes, End end, LongFunction<String> flood, List<Later> later) {
        Answer(String bytes, End end, LongFunction<String> flood) {
            this(bytes, end, flood, List.of());
        }

        Answer(String bytes, End end) {
            this(bytes, end, null);
        }
    }

    /**
     * Bytes that are sent after a delay.
     *
     * @param delayMillis time since the bytes before
     * @param bytes the bytes
     */
    record Later(long delayMillis, String bytes) {}

    /** What happens to the connection after an answer. */
    enum End {
        /** It is kept for further requests. */
        KEEP,
        /** It is closed in order. */
        CLOSE,
        /** It is reset. */
        RESET
    }

    /**
     * A received request.
     *
     * @param line request line
     * @param id id of the request; empty if it has none
     * @param expectedServer id of the server that the request is meant for; empty if not stated
     * @param lastEventId the last event that the caller has received; empty if not stated
     * @param reservation the slot that was reserved for the request; empty if none is stated
     * @param body the body
     * @param connection number of its connection, from 1
     * @param sender sends bytes on its connection
     */
    record Request(
            String line,
            String id,
            String expectedServer,
            String lastEventId,
            String reservation,
            byte[] body,
            int connection,
            Sender sender) {
        private Request withBody(byte[] bytes) {
            return new Request(
                    line, id, expectedServer, lastEventId, reservation, bytes, connection, sender);
        }
    }

    /** The head of a request, and the length of the body that follows. */
    private record Head(Request request, int length) {}

    private final PlatformStoreStandIn store;
    private final ServerSocket listener;
    private final Script script;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final List<String> received = new CopyOnWriteArrayList<>();
    private volatile boolean reservingSlots;

    /**
     * Starts the server and lists it.
     *
     * @param store the store to register in
     * @param id the server's id
     * @param service the service that the server belongs to
     * @param models models that the server holds
     */
    ScriptedServer(
            PlatformStoreStandIn store,
            String id,
            String service,
            List<String> models,
            Script script) {
        this.script = script;
        try {
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start("scripted-server", this::accept);
        this.store = store;
        list(id, service, models);
    }

    /** Lists the server under an id, besides those under which it is listed already. */
    void list(String id, String service, List<String> models) {
        list(id, service, models, 1);
    }

    /** Lists the server under an id, as a process that was started at a time. */
    void list(String id, String service, List<String> models, long bornMillis) {
        store.put("servers", id, entry(service, models, bornMillis));
    }

    /** Removes an id of the server from the list. */
    void unlist(String id) {
        store.remove("servers", id);
    }

    /** Sets whether the server reserves slots; it does not know such calls at first. */
    void setReservingSlots(boolean reserving) {
        reservingSlots = reserving;
    }

    /** Returns the number of connections that were opened to the server. */
    int acceptedConnections() {
        return sockets.size();
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private ObjectNode entry(String service, List<String> models, long bornMillis) {
        ObjectNode entry = JsonNodeFactory.instance.objectNode();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + listener.getLocalPort());
        entry.put("zone", "home");
        entry.put("slots", 8);
        entry.put("state", "ready");
        entry.put("born", bornMillis);
        ArrayNode list = entry.putArray("models");
        models.forEach(model -> list.addObject().put("name", model).putArray("adapters"));
        return entry;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the ids of the received requests, in order. */
    List<String> received() {
        return received;
    }

    /** Returns a complete answer. */
    static String answer(int status, String requestId, String headers, String body) {
        String id = requestId.isEmpty() ? "" : "tarragonlug-request-id: " + requestId + "\r\n";
        return "HTTP/1.1 "
                + status
                + " Status\r\n"
                + id
                + headers
                + "content-length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Returns a statement that a request was not run. */
    static String refusal(String requestId) {
        return answer(
                503,
                requestId,
                "tarragonlug-not-executed: 1\r\ntarragonlug-server-load: 8,0,8\r\n",
                "");
    }

    /** Returns a complete successful answer. */
    static String success(String requestId, String body) {
        return answer(200, requestId, "tarragonlug-response-seal: s\r\n", body);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                int connection = sockets.size();
                start("scripted-connection", () -> serve(socket, connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket, int connection) {
        Sender sender = new Sender(socket);
        try (socket) {
            InputStream input = socket.getInputStream();
            OutputStream output = socket.getOutputStream();
            End end = End.KEEP;
            for (int onConnection = 1; end == End.KEEP; onConnection++) {
                Head head = readHead(input, connection, sender);
                if (head.request().line().contains(" /tarragonlug/hold-")) {
                    readBody(input, head.length());
                    output.write(answerToReservation());
                    continue;
                }
                boolean answered = script.answerHead(head.request());
                Request request = head.request().withBody(readBody(input, head.length()));
                if (answered) {
                    continue;
                }
                int number;
                synchronized (received) {
                    received.add(request.id());
                    number = received.size();
                }
                Answer answer = script.answer(request, number, onConnection);
                output.write(answer.bytes().getBytes(StandardCharsets.ISO_8859_1));
                output.flush();
                for (Later later : answer.later()) {
                    Thread.sleep(later.delayMillis());
                    output.write(later.bytes().getBytes(StandardCharsets.ISO_8859_1));
                }
                for (long part = 0; answer.flood() != null; part++) {
                    output.write(answer.flood().apply(part).getBytes(StandardCharsets.ISO_8859_1));
                }
                end = answer.end();
            }
            if (end == End.RESET) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException closed) {
            // The gateway or the test closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sender.open = false;
        }
    }

    private byte[] answerToReservation() {
        String text = "{\"hold\":\"slot\"}";
        String answer =
                reservingSlots
                        ? "HTTP/1.1 200 OK\r\ncontent-length: " + text.length() + "\r\n\r\n" + text
                        : "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
        return answer.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static Head readHead(InputStream input, int connection, Sender sender)
            throws IOException {
        String line = readLine(input);
        String id = "";
        String expectedServer = "";
        String lastEventId = "";
        String reservation = "";
        int length = 0;
        for (String header = readLine(input); !header.isEmpty(); header = readLine(input)) {
            String[] parts = header.split(": ?", 2);
            String name = parts[0].toLowerCase(Locale.ROOT);
            if (name.equals("tarragonlug-request-id")) {
                id = parts[1];
            } else if (name.equals("tarragonlug-expect-instance")) {
                expectedServer = parts[1];
            } else if (name.equals("last-event-id")) {
                lastEventId = parts[1];
            } else if (name.equals("tarragonlug-hold")) {
                reservation = parts[1];
            } else if (name.equals("content-length")) {
                length = Integer.parseInt(parts[1].trim());
            }
        }
        Request request =
                new Request(
                        line,
                        id,
                        expectedServer,
                        lastEventId,
                        reservation,
                        new byte[0],
                        connection,
                        sender);
        return new Head(request, length);
    }

    private static byte[] readBody(InputStream input, int length) throws IOException {
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the body is incomplete");
        }
        return body;
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new IOException("the connection was closed");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
