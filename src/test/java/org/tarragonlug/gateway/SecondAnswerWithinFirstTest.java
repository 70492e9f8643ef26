package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that stop within an answer and then send an answer to the same request from its head. */
class SecondAnswerWithinFirstTest {
    private static final int EVENTS = 4;
    private static final int CALLERS = 24;

    /** Places to stop, in bytes before the end; most leave room for a part of a head only. */
    private static final List<Integer> BEFORE_END =
            List.of(1, 2, 3, 5, 8, 13, 17, 21, 34, 55, 75, 89);

    /**
     * Smallest number of bytes of a divided second answer within the body. The gateway waits for
     * the rest of a shorter beginning for a time that a busy machine may exceed.
     */
    private static final int DIVIDED_BYTES = 8;

    /** How the end of the body is found. */
    private enum Framing {
        LENGTH,
        /** After a length, and the answer says that its connection ends. */
        LENGTH_AND_CLOSE,
        CHUNKS,
        CLOSE
    }

    /** The answer that is sent from its head. */
    private enum Second {
        IDENTICAL,
        NOT_EXECUTED,
        ERROR
    }

    /** When the second answer is sent. */
    private enum When {
        AT_ONCE(0),
        AFTER_3_MILLIS(3),
        AFTER_30_MILLIS(30),
        AFTER_300_MILLIS(300),
        /** With the first one as far as that one's length goes, and the rest later. */
        DIVIDED(2),
        DIVIDED_BY_40_MILLIS(40);

        private final long millis;

        When(long millis) {
            this.millis = millis;
        }
    }

    /** What the caller asks for. */
    private enum Request {
        NON_IDEMPOTENT("/issue/", false),
        IDEMPOTENT("/read/", false),
        STREAM("/score/", true),
        RESUMABLE_STREAM("/ask/", true);

        private final String path;
        private final boolean streaming;

        Request(String path, boolean streaming) {
            this.path = path;
            this.streaming = streaming;
        }
    }

    /** One case; its number is the last part of the request's path. */
    private record Case(
            int number, Request request, Framing framing, Second second, When when, int cut) {
        String wholeBody() {
            return body(1);
        }

        String body(int firstEvent) {
            StringBuilder body = new StringBuilder();
            for (int event = firstEvent; event <= EVENTS; event++) {
                body.append(part(event));
            }
            return body.toString();
        }

        private String part(int event) {
            String text = "part " + event + " of the answer to " + number;
            return request.streaming ? "id: " + event + "\ndata: " + text + "\n\n" : text + "; ";
        }

        String answer(String requestId, int firstEvent) {
            String head =
                    "HTTP/1.1 200 OK\r\ntarragonlug-request-id: "
                            + requestId
                            + "\r\ntarragonlug-response-seal: s\r\n"
                            + (request.streaming ? "content-type: text/event-stream\r\n" : "");
            String body = body(firstEvent);
            return switch (framing) {
                case LENGTH -> head + "content-length: " + body.length() + "\r\n\r\n" + body;
                case LENGTH_AND_CLOSE ->
                        head
                                + "connection: close\r\ncontent-length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body;
                case CLOSE -> head + "\r\n" + body;
                case CHUNKS -> {
                    StringBuilder chunks = new StringBuilder();
                    for (int event = firstEvent; event <= EVENTS; event++) {
                        String part = part(event);
                        chunks.append(Integer.toHexString(part.length()));
                        chunks.append("\r\n").append(part).append("\r\n");
                    }
                    yield head + "transfer-encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
                }
            };
        }

        /** Returns whether the second answer is divided after a few bytes only. */
        boolean isDividedEarly() {
            int room = answer("r" + number, 1).length() - cut;
            return isDivided() && room < DIVIDED_BYTES;
        }

        private boolean isDivided() {
            return when == When.DIVIDED || when == When.DIVIDED_BY_40_MILLIS;
        }

        /** Returns whether the case is played; few are where the connection ends after a length. */
        boolean isSelected() {
            boolean ends = framing == Framing.LENGTH_AND_CLOSE;
            boolean wantedAtEnd = when == When.DIVIDED_BY_40_MILLIS && second == Second.IDENTICAL;
            return ends ? wantedAtEnd : when != When.DIVIDED_BY_40_MILLIS;
        }

        ScriptedServer.End end() {
            boolean ends = framing == Framing.CLOSE || framing == Framing.LENGTH_AND_CLOSE;
            return ends ? ScriptedServer.End.CLOSE : ScriptedServer.End.KEEP;
        }

        private String secondAnswer(String requestId) {
            return switch (second) {
                case IDENTICAL -> answer(requestId, 1);
                case NOT_EXECUTED -> ScriptedServer.refusal(requestId);
                case ERROR -> ScriptedServer.answer(500, requestId, "", wholeBody());
            };
        }

        ScriptedServer.Answer stoppedAnswer(String requestId) {
            String whole = answer(requestId, 1);
            String begun = whole.substring(0, cut);
            String next = secondAnswer(requestId);
            int atOnce =
                    switch (when) {
                        case AT_ONCE -> next.length();
                        case DIVIDED, DIVIDED_BY_40_MILLIS ->
                                Math.min(next.length(), whole.length() - cut);
                        default -> 0;
                    };
            return new ScriptedServer.Answer(
                    begun + next.substring(0, atOnce),
                    end(),
                    null,
                    List.of(new ScriptedServer.Later(when.millis, next.substring(atOnce))));
        }

        /** Returns the places to stop: in each kind of line, between events and near the end. */
        static Set<Integer> cuts(Request request, Framing framing) {
            Case any = new Case(1000, request, framing, Second.IDENTICAL, When.AT_ONCE, 0);
            String whole = any.answer("r1000", 1);
            int headEnd = whole.indexOf("\r\n\r\n") + 4;
            Set<Integer> cuts = new LinkedHashSet<>(List.of(headEnd - 6, headEnd));
            int text = whole.indexOf("part 3");
            cuts.add(text + 9);
            int linesBefore = request.streaming || framing == Framing.CHUNKS ? 18 : 0;
            for (int distance = 0; distance <= linesBefore; distance += 3) {
                cuts.add(text - distance);
            }
            BEFORE_END.forEach(distance -> cuts.add(whole.length() - distance));
            return cuts;
        }
    }

    private final GatewayFixture fixture = new GatewayFixture();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    private final Set<Integer> begun = ConcurrentHashMap.newKeySet();
    private final List<Case> cases = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        callers.shutdownNow();
        fixture.close();
    }

    /** The first attempt of each case gets a stopped answer, every other one a whole answer. */
    private ScriptedServer.Answer answer(
            ScriptedServer.Request request, int number, int onConnection) {
        if (request.id().isEmpty()) {
            return new ScriptedServer.Answer(
                    ScriptedServer.answer(500, "", "", ""), ScriptedServer.End.KEEP);
        }
        String path = request.line().split(" ")[1];
        Case asked = cases.get(Integer.parseInt(path.substring(path.lastIndexOf('/') + 1)) - 1000);
        if (begun.add(asked.number)) {
            return asked.stoppedAnswer(request.id());
        }
        int firstEvent =
                request.lastEventId().isEmpty() ? 1 : Integer.parseInt(request.lastEventId()) + 1;
        return new ScriptedServer.Answer(asked.answer(request.id(), firstEvent), asked.end());
    }

    private void start() throws Exception {
        for (String id : List.of("a", "b")) {
            fixture.startScripted("records-" + id, "records", List.of(), this::answer);
            fixture.startScripted("engines-" + id, "engines", List.of("m1"), this::answer);
        }
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    private HttpResponse<InputStream> send(Case asked) throws Exception {
        int port = fixture.gatewaySettings.get(0).callerAddress().getPort();
        String path = asked.request.path + asked.number;
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .header("Tarragonlug-Request-Id", "r" + asked.number)
                        .header("Tarragonlug-Deadline-Ms", "6000")
                        .header("Tarragonlug-Model", asked.request.streaming ? "m1" : "")
                        .POST(HttpRequest.BodyPublishers.ofString("request " + asked.number))
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.ofInputStream());
    }

    /** Sends the request of a case and says what its caller got. */
    private String outcome(Case asked) throws Exception {
        StringBuilder received = new StringBuilder();
        boolean complete = true;
        int status;
        try {
            HttpResponse<InputStream> response = send(asked);
            status = response.statusCode();
            complete = readAll(response.body(), received);
        } catch (IOException closed) {
            return "closed";
        }
        if (status == 503 && !begun.contains(asked.number)) {
            return "not sent";
        }
        if (status != 200) {
            return Integer.toString(status);
        }
        String whole = asked.wholeBody();
        if (complete) {
            return received.toString().equals(whole) ? "whole" : "SPOILT " + asked + received;
        }
        return whole.startsWith(received.toString())
                ? "broken"
                : "SPOILT AND BROKEN " + asked + received;
    }

    private static boolean readAll(InputStream input, StringBuilder received) {
        byte[] buffer = new byte[4096];
        try {
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                received.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
            }
            return true;
        } catch (IOException broken) {
            return false;
        }
    }

    private void addCases(Request request) {
        for (Framing framing : Framing.values()) {
            for (int cut : Case.cuts(request, framing)) {
                for (Second second : Second.values()) {
                    for (When when : When.values()) {
                        int number = 1000 + cases.size();
                        Case next = new Case(number, request, framing, second, when, cut);
                        if (next.isSelected() && !next.isDividedEarly()) {
                            cases.add(next);
                        }
                    }
                }
            }
        }
    }

    // Guards against a success that consists of the beginning of one answer and of the head and the
    // beginning of another, which has the right length and the right id.
    @ParameterizedTest
    @EnumSource
    void noCallerGetsPartsOfTwoAnswers(Request request) throws Exception {
        addCases(request);
        start();
        List<Future<String>> outcomes = new ArrayList<>();
        for (Case asked : cases) {
            outcomes.add(callers.submit(() -> outcome(asked)));
        }
        Map<String, Integer> counts = new TreeMap<>();
        List<String> spoilt = new ArrayList<>();
        for (Future<String> outcome : outcomes) {
            counts.merge(outcome.get().split(" Case")[0], 1, Integer::sum);
            if (outcome.get().startsWith("SPOILT")) {
                spoilt.add(outcome.get());
            }
        }
        assertEquals(List.of(), spoilt, spoilt.size() + " of " + cases.size() + ": " + counts);
        Set<String> allowed = Set.of("whole", "broken", "not sent", "502", "504");
        assertTrue(allowed.containsAll(counts.keySet()), counts.toString());
    }

    // Guards against whole answers that are lost, or cost their connection, because their last
    // bytes may begin a head.
    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 200 OK\r\nx: y"})
    void answerThatEndsLikeABeginningHeadIsDelivered(String end) throws Exception {
        Set<Integer> connections = ConcurrentHashMap.newKeySet();
        fixture.startScripted(
                "r1",
                "records",
                List.of(),
                (request, number, onConnection) -> {
                    connections.add(request.connection());
                    return new ScriptedServer.Answer(
                            ScriptedServer.success(request.id(), "whole " + end),
                            ScriptedServer.End.KEEP);
                });
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
        for (int number = 0; number < 5; number++) {
            HttpResponse<String> answer = fixture.send(0, "/read/1", "", "x");
            assertEquals("200 whole " + end, answer.statusCode() + " " + answer.body());
        }
        assertEquals(Set.of(1), connections);
    }
}
