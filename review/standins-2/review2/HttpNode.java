package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on loopback with one thread for each connection. */
final class HttpNode implements AutoCloseable {
    /** A request that was read completely; header names are in lower case. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        String query(String name) {
            int query = target.indexOf('?');
            if (query >= 0) {
                for (String part : target.substring(query + 1).split("&")) {
                    if (part.startsWith(name + "=")) {
                        return part.substring(name.length() + 1);
                    }
                }
            }
            return null;
        }
    }

    /** A complete answer. */
    record Reply(int status, Map<String, String> headers, byte[] body) {}

    /** What an answer is written to. */
    interface Exchange {
        Request request();

        OutputStream output() throws IOException;

        /** Writes a complete answer with its length. */
        void reply(Reply reply) throws IOException;

        /** Closes the connection. */
        void close();

        /** Tells whether the caller has closed the connection, after waiting for a time. */
        boolean callerGone(int waitMillis);
    }

    /** Handles one request; the connection is closed if this fails. */
    interface Handler {
        void handle(Exchange exchange) throws Exception;
    }

    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 18_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> USED_PORTS = new HashSet<>();

    private final Handler handler;
    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;

    HttpNode(Handler handler) throws IOException {
        this.handler = handler;
        port = freePort();
        listen(port);
    }

    /** Returns a port that is free now and that the system gives to no outgoing connection. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int candidate = FIRST_PORT + RANDOM.nextInt(PORT_COUNT);
            if (!USED_PORTS.add(candidate)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), candidate));
                return candidate;
            } catch (java.net.BindException inUse) {
                continue;
            }
        }
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private void listen(int wanted) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), wanted), 200);
        listener = socket;
        daemon("accept", () -> accept(socket));
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Resets all connections and refuses new ones. */
    void goAway() {
        try {
            listener.close();
        } catch (IOException ignored) {
            // It is closed anyway.
        }
        closeConnections();
    }

    /** Resets all connections; new ones are accepted. */
    void closeConnections() {
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException ignored) {
                // It is closed anyway.
            }
        }
    }

    /** Accepts connections again at the same address. */
    void comeBack() throws IOException {
        listen(port);
    }

    private void accept(ServerSocket socket) {
        while (true) {
            try {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                sockets.add(accepted);
                daemon("connection", () -> serve(accepted));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Request request = read(input);
                if (request == null) {
                    return;
                }
                Connection connection = new Connection(socket, input, request);
                handler.handle(connection);
                if (connection.closed) {
                    return;
                }
            }
        } catch (Exception ended) {
            // The caller has left or the handler wants the connection closed.
            return;
        } finally {
            sockets.remove(socket);
        }
    }

    static Request read(InputStream input) throws IOException {
        String first = line(input);
        if (first == null || first.isEmpty()) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = headers(input);
        return new Request(words[0], words[1], headers, body(input, headers));
    }

    static Map<String, String> headers(InputStream input) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    static byte[] body(InputStream input, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String size = line(input);
                if (size == null) {
                    throw new IOException("the body broke off");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                byte[] part = input.readNBytes(length);
                if (part.length < length) {
                    throw new IOException("the body broke off");
                }
                all.writeBytes(part);
                String end = line(input);
                if (end == null) {
                    throw new IOException("the body broke off");
                }
                if (length == 0) {
                    return all.toByteArray();
                }
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the body broke off");
        }
        return body;
    }

    static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] head(int status, Map<String, String> headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
        headers.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
        return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        goAway();
    }

    private static final class Connection implements Exchange {
        private final Socket socket;
        private final InputStream input;
        private final Request request;
        private boolean closed;

        Connection(Socket socket, InputStream input, Request request) {
            this.socket = socket;
            this.input = input;
            this.request = request;
        }

        @Override
        public Request request() {
            return request;
        }

        @Override
        public OutputStream output() throws IOException {
            return socket.getOutputStream();
        }

        @Override
        public void reply(Reply reply) throws IOException {
            Map<String, String> headers = new LinkedHashMap<>(reply.headers());
            headers.put("Content-Length", Integer.toString(reply.body().length));
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head(reply.status(), headers));
            all.writeBytes(reply.body());
            output().write(all.toByteArray());
            output().flush();
        }

        @Override
        public void close() {
            closed = true;
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed anyway.
            }
        }

        @Override
        public boolean callerGone(int waitMillis) {
            try {
                socket.setSoTimeout(Math.max(1, waitMillis));
                input.mark(1);
                int next = input.read();
                if (next >= 0) {
                    input.reset();
                }
                return next < 0;
            } catch (java.net.SocketTimeoutException stillThere) {
                return false;
            } catch (IOException gone) {
                return true;
            } finally {
                try {
                    socket.setSoTimeout(0);
                } catch (IOException ignored) {
                    // The connection has ended.
                }
            }
        }
    }
}
