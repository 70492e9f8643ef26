package org.tarragonlug.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.platform.PlatformPaths;
import org.tarragonlug.platform.ServerAnswer;

/** The bytes of the answers of servers. */
final class ServerAnswers {
    private static final String NOT_EXECUTED = header(ServerAnswer.NOT_EXECUTED, "1");
    private static final int UNAVAILABLE = 503;

    /** Requests that wait at a server whose slots are all taken. */
    private static final int WAITING_REQUESTS = 3;

    private static final double MILLIS_PER_SECOND = 1000;

    private ServerAnswers() {}

    private static String header(String name, String value) {
        return name + ": " + value + "\r\n";
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] answer(int status, String headers, String body) {
        String length = "Content-Length: " + body.length() + "\r\n\r\n";
        return bytes("HTTP/1.1 " + status + " Status\r\n" + headers + length + body);
    }

    private static String named(SoakServer server, RequestId id) {
        return named(server, id, server.running.get() + ",0," + server.listing.slots());
    }

    private static String named(SoakServer server, RequestId id, String load) {
        String leaving = server.doAnswersSayLeaving() ? "Server-Leaving: 1\r\n" : "";
        return header(ServerAnswer.REQUEST_ID, id.value())
                + header(ServerAnswer.LOAD, load)
                + leaving;
    }

    private static String sealed(SoakServer server, RequestId id) {
        return named(server, id) + header(ServerAnswer.SEAL, server.id + "." + id);
    }

    /** Returns the answer to a request that is meant for another server. */
    static byte[] misdirected(SoakServer server, RequestId id) {
        String instance = header(ServerAnswer.INSTANCE, server.id);
        return answer(421, named(server, id) + NOT_EXECUTED + instance, "");
    }

    /**
     * Returns the answer of a server that takes no request now.
     *
     * @param pauseMillis how long it wants none; 0 if it does not say
     */
    static byte[] refusal(SoakServer server, RequestId id, RefusalKind kind, long pauseMillis) {
        String pause =
                pauseMillis == 0 ? "" : "Retry-After: " + pauseMillis / MILLIS_PER_SECOND + "\r\n";
        String instance = header(ServerAnswer.INSTANCE, server.id);
        return answer(kind.status(), named(server, id) + NOT_EXECUTED + instance + pause, "");
    }

    /** Returns the answer of a server whose slots are all taken and before which requests wait. */
    static byte[] full(SoakServer server, RequestId id) {
        int slots = server.listing.slots();
        String load = slots + "," + WAITING_REQUESTS + "," + slots;
        String instance = header(ServerAnswer.INSTANCE, server.id);
        return answer(UNAVAILABLE, named(server, id, load) + NOT_EXECUTED + instance, "");
    }

    /** Returns an answer that does not say whether the request was run. */
    static byte[] unavailable(SoakServer server, RequestId id) {
        return answer(UNAVAILABLE, named(server, id), "");
    }

    static byte[] failed(SoakServer server, RequestId id) {
        return answer(500, sealed(server, id), "failed");
    }

    static byte[] success(SoakServer server, RequestId id) {
        return answer(200, sealed(server, id), AnswerContent.body(id));
    }

    static byte[] streamHead(SoakServer server, RequestId id) {
        String type = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        return bytes("HTTP/1.1 200 OK\r\n" + sealed(server, id) + type);
    }

    /** Returns a chunk of a body; an empty one ends it. */
    static byte[] chunk(String content) {
        return bytes(Integer.toHexString(content.length()) + "\r\n" + content + "\r\n");
    }

    private static byte[] reservation(SlotAnswer slot) {
        String body = slot == SlotAnswer.RESERVED ? "{\"hold\":\"slot\"}" : "";
        return answer(slot.status(), "", body);
    }

    /** Returns the answer to a report, an order or a question for the health of the server. */
    static byte[] control(SoakServer server, String path, byte[] body, boolean misdirected)
            throws IOException {
        String instance = header(ServerAnswer.INSTANCE, server.id);
        if (misdirected) {
            return answer(421, instance, "");
        }
        if (path.startsWith(PlatformPaths.REPORT)) {
            String models = server.models().toString();
            long sequence = server.holdings.map(EngineHoldings::sequence).orElse(0L);
            String state = ",\"busy\":false,\"seq\":" + sequence + "}";
            return answer(200, "", "{\"models\":" + models + state);
        }
        if (path.startsWith(PlatformPaths.RESERVE_SLOT)) {
            return reservation(server.reserveSlot());
        }
        return path.startsWith(PlatformPaths.ORDER)
                ? answer(server.carryOut(body), "", "")
                : answer(200, instance, "");
    }
}
