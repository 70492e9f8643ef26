package org.tarragonlug.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A backend server that ends its connections around the moments at which requests are written to
 * them, and records every request of which it has read a byte.
 *
 * <p>A request counts as begun when its head is complete, as a server may begin to run it then.
 */
final class ClosingServer implements AutoCloseable {
    private static final Pattern LENGTH =
            Pattern.compile("content-length: *(\\d+)", Pattern.CASE_INSENSITIVE);
    private static final Pattern ID =
            Pattern.compile("tarragonlug-request-id: *(\\S+)", Pattern.CASE_INSENSITIVE);
    private static final int HIGHEST_DELAY_MICROS = 15_000;
    private static final String HEAD_END = "\r\n\r\n";
    private static final int WHOLE = Integer.MAX_VALUE;

    /** Largest number of bytes after which a head is cut; most cuts are behind the target. */
    private static final int LARGEST_PART_OF_HEAD = 60;

    /** What the server does with a connection beside answering requests. */
    enum Fault {
        NONE,
        CLOSE_AFTER_ANSWER,
        RESET_AFTER_ANSWER,
        RESET_WITHIN_HEAD,
        RESET_AFTER_HEAD,
        CLOSE_AFTER_HEAD,
        RESET_WITHIN_BODY,
        CLOSE_WITHIN_BODY,
        RESET_AFTER_REQUEST,
        CLOSE_AFTER_REQUEST,
        /** Sends no more after an answer, but runs what it receives. */
        HALF_CLOSE_AFTER_ANSWER,
        /** Sends no more after a head, but runs the request. */
        HALF_CLOSE_AFTER_HEAD,
        /** Says that the connection ends, and runs one more request on it. */
        SAY_CLOSE_AND_READ_ON,
        /** Sends a whole answer that names no request while none is under way. */
        ANSWER_TO_NOBODY,
        /** Sends its last answer once more while no request is under way. */
        ANSWER_ONCE_MORE,
        /** Refuses a request without reading its body, and closes the connection. */
        REFUSE_BEFORE_BODY
    }

    private final ServerSocket listener;
    private final double faultShare;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final Collection<String> begun = new ConcurrentLinkedQueue<>();
    private final Collection<String> incompleteHeads = new ConcurrentLinkedQueue<>();
    private final Map<Fault, AtomicInteger> faults = new EnumMap<>(Fault.class);

    /**
     * Starts the server.
     *
     * @param faultShare share of the requests around which a fault happens
     */
    ClosingServer(double faultShare) {
        this.faultShare = faultShare;
        for (Fault fault : Fault.values()) {
            faults.put(fault, new AtomicInteger());
        }
        try {
            listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startThread(this::accept);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "closing-server");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the ids of the requests whose head was read, once for each time. */
    List<String> begun() {
        return new ArrayList<>(begun);
    }

    /** Returns the beginnings of heads that were read, and of which no more came. */
    List<String> incompleteHeads() {
        return new ArrayList<>(incompleteHeads);
    }

    /** Returns how often each fault has happened. */
    Map<Fault, AtomicInteger> faults() {
        return faults;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
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
            InputStream input = new BufferedInputStream(socket.getInputStream());
            boolean open = true;
            while (open) {
                open = serveRequest(socket, input);
            }
        } catch (IOException | InterruptedException ended) {
            // The gateway closed the connection, or a fault has ended it.
            return;
        }
    }

    private Fault nextFault() {
        Random random = ThreadLocalRandom.current();
        boolean happens = random.nextDouble() < faultShare;
        Fault[] all = Fault.values();
        return happens ? all[1 + random.nextInt(all.length - 1)] : Fault.NONE;
    }

    /** Reads and answers a request, and returns whether the connection goes on. */
    private boolean serveRequest(Socket socket, InputStream input)
            throws IOException, InterruptedException {
        Fault fault = nextFault();
        String head = readHead(input, fault == Fault.RESET_WITHIN_HEAD ? partOfHead() : WHOLE);
        faults.get(fault).incrementAndGet();
        String id = find(ID, head);
        int length = Integer.parseInt("0" + find(LENGTH, head));
        if (fault == Fault.REFUSE_BEFORE_BODY) {
            send(socket, ScriptedServer.refusal(id));
            return false;
        }
        if (!id.isEmpty()) {
            begun.add(id);
        }
        if (endsBeforeAnswer(fault, socket, input, length)) {
            return false;
        }
        input.readNBytes(fault == Fault.HALF_CLOSE_AFTER_HEAD ? 0 : length);
        answer(fault, socket, id);
        return goesOnAfterAnswer(fault, socket, input, id);
    }

    private static boolean endsBeforeAnswer(
            Fault fault, Socket socket, InputStream input, int length) throws IOException {
        switch (fault) {
            case RESET_WITHIN_HEAD, RESET_AFTER_HEAD -> reset(socket);
            case CLOSE_AFTER_HEAD -> socket.close();
            case RESET_WITHIN_BODY, CLOSE_WITHIN_BODY -> {
                input.readNBytes(ThreadLocalRandom.current().nextInt(length + 1));
                endNow(socket, fault == Fault.RESET_WITHIN_BODY);
            }
            case RESET_AFTER_REQUEST, CLOSE_AFTER_REQUEST -> {
                input.readNBytes(length);
                endNow(socket, fault == Fault.RESET_AFTER_REQUEST);
            }
            case HALF_CLOSE_AFTER_HEAD -> {
                socket.shutdownOutput();
                input.readAllBytes();
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private static void endNow(Socket socket, boolean reset) throws IOException {
        if (reset) {
            reset(socket);
        } else {
            socket.close();
        }
    }

    private static void answer(Fault fault, Socket socket, String id) throws IOException {
        String close = fault == Fault.SAY_CLOSE_AND_READ_ON ? "connection: close\r\n" : "";
        String headers = "tarragonlug-response-seal: s\r\n" + close;
        send(socket, ScriptedServer.answer(200, id, headers, "done"));
    }

    private boolean goesOnAfterAnswer(Fault fault, Socket socket, InputStream input, String id)
            throws IOException, InterruptedException {
        if (fault == Fault.NONE) {
            return true;
        }
        pause();
        switch (fault) {
            case CLOSE_AFTER_ANSWER -> socket.close();
            case RESET_AFTER_ANSWER -> reset(socket);
            case HALF_CLOSE_AFTER_ANSWER -> {
                socket.shutdownOutput();
                runWithoutAnswer(input);
            }
            case SAY_CLOSE_AND_READ_ON -> runWithoutAnswer(input);
            case ANSWER_TO_NOBODY -> send(socket, ScriptedServer.success("", "to nobody"));
            default -> send(socket, ScriptedServer.success(id, "once more"));
        }
        return fault == Fault.ANSWER_TO_NOBODY || fault == Fault.ANSWER_ONCE_MORE;
    }

    private void runWithoutAnswer(InputStream input) throws IOException {
        while (true) {
            String head = readHead(input, WHOLE);
            begun.add(find(ID, head));
            input.readNBytes(Integer.parseInt("0" + find(LENGTH, head)));
        }
    }

    private static int partOfHead() {
        return 1 + ThreadLocalRandom.current().nextInt(LARGEST_PART_OF_HEAD);
    }

    private static void pause() throws InterruptedException {
        int micros = ThreadLocalRandom.current().nextInt(HIGHEST_DELAY_MICROS);
        Thread.sleep(micros / 1000, micros % 1000 * 1000);
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static void send(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a head, or its beginning of the given length. */
    private String readHead(InputStream input, int limit) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END, head.length() - HEAD_END.length()) < 0) {
            int next = head.length() < limit ? input.read() : -1;
            if (next >= 0) {
                head.append((char) next);
                continue;
            }
            if (head.length() > 0) {
                incompleteHeads.add(head.toString());
            }
            if (head.length() < limit) {
                throw new IOException("the connection has ended");
            }
            return "";
        }
        return head.toString();
    }

    private static String find(Pattern pattern, String head) {
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
