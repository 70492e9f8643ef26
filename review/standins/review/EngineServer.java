package review;

import java.io.OutputStream;
import java.util.Map;

/** A stand-in of a sound model server that streams events. The cases need no orders. */
class EngineServer extends Server {
    private final int events;
    private final int pauseMillis;

    EngineServer(
            Store store, Record record, String zone, String id, int slots, int events, int pauseMillis)
            throws Exception {
        super(store, record, Site.ENGINES, zone, id, slots);
        this.events = events;
        this.pauseMillis = pauseMillis;
    }

    @Override
    void onRequest(Message head, byte[] body, OutputStream out) throws Exception {
        String request = head.headers.getOrDefault("tarragonlug-request-id", "");
        String model = head.headers.getOrDefault("tarragonlug-model", "");
        boolean wrong = !head.headers.getOrDefault("tarragonlug-expect-instance", id).equals(id);
        if (wrong || !models.containsKey(model)) {
            Map<String, String> headers =
                    Map.of("tarragonlug-instance-id", id, "tarragonlug-request-id", request);
            out.write(Message.response(421, headers, ""));
            return;
        }
        running.incrementAndGet();
        record.line("server " + id + " runs " + request + " with " + model);
        try {
            int last = Integer.parseInt(head.headers.getOrDefault("last-event-id", "0"));
            stream(request, last, out);
            record.line("server " + id + " ended " + request);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Sends the events after the given one. */
    void stream(String request, int last, OutputStream out) throws Exception {
        sendHead(request, out);
        for (int event = last + 1; event <= events; event++) {
            sendEvent(event, request, out);
        }
        out.write("0\r\n\r\n".getBytes());
    }

    void sendHead(String request, OutputStream out) throws Exception {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        answerHeaders(request)
                .forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
        out.write(head.toString().getBytes());
    }

    /** Sends an event as a chunk, and waits for the pause between two events. */
    void sendEvent(int event, String request, OutputStream out) throws Exception {
        String text = "id: " + event + "\ndata: part " + event + " of " + request + "\n\n";
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
        out.flush();
        sleep(pauseMillis);
    }
}
