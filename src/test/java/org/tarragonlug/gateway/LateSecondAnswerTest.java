package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Servers that send an answer once more, late, where the next answer is due. */
class LateSecondAnswerTest {
    private static final int FILLED_EVENT_BYTES = 1000;
    private static final int SUCCESS = 200;
    private static final int CASES_PER_SHAPE = 12;

    /** Time in which bytes that were sent reach the gateway. */
    private static final long ARRIVAL_MILLIS = 25;

    /** Time between the second answer and the next request's own one. */
    private static final long OWN_ANSWER_MILLIS = 4;

    /** When the second answer comes. */
    private enum Moment {
        /** Before the next request is sent. */
        IDLE,
        /** After the next request has been received and before its own answer. */
        IN_PROGRESS,
        /** The first half before the next request is sent, the other one with its own answer. */
        SPLIT,
        /** In halves, both after the next request has been received. */
        IN_HALVES,
        /** After a delay, while the next request is sent at once. */
        RACING
    }

    /** How the body of the second answer is sent, and whether the answer is whole. */
    private enum Shape {
        LENGTH,
        CHUNKED,
        CUT_IN_HEAD,
        CUT_IN_BODY;

        boolean isWhole() {
            return this == LENGTH || this == CHUNKED;
        }
    }

    /** The next request on the connection. */
    private enum Next {
        NON_IDEMPOTENT("/issue/1", ""),
        IDEMPOTENT("/read/1", ""),
        STREAM("/score/1", "m1"),
        RESUMABLE_STREAM("/ask/1", "m1");

        private final String path;
        private final String model;

        Next(String path, String model) {
            this.path = path;
            this.model = model;
        }
    }

    /**
     * One case.
     *
     * @param moment when the second answer comes
     * @param shape how it is sent
     * @param firstStatus status of the first answer
     * @param secondStatus status of the second answer to the same request
     * @param events length of the bodies in events
     * @param delayMillis delay of the second answer
     */
    private record Case(
            Moment moment,
            Shape shape,
            int firstStatus,
            int secondStatus,
            int events,
            long delayMillis) {}

    private final GatewayFixture fixture = new GatewayFixture();
    private final Set<String> idsByConnection = ConcurrentHashMap.newKeySet();
    private final List<String> idsSentTwice = new ArrayList<>();
    private volatile Case current;
    private volatile String firstId = "";
    private volatile int firstConnection;

    @BeforeEach
    void start() throws Exception {
        fixture.startScripted("records", "records", List.of(), this::answer);
        fixture.startScripted("engines", "engines", List.of("m1"), this::answer);
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private ScriptedServer.Answer answer(
            ScriptedServer.Request request, int number, int onConnection) {
        if (request.id().isEmpty()) {
            // A question about the server itself.
            return keep(ScriptedServer.answer(500, "", "", ""), List.of());
        }
        if (!idsByConnection.add(
                request.line() + " " + request.connection() + " " + request.id())) {
            idsSentTwice.add(request.id());
        }
        Case now = current;
        if (firstId.isEmpty()) {
            firstId = request.id();
            firstConnection = request.connection();
            return firstAnswer(now, request.id());
        }
        String own = encode(Shape.LENGTH, SUCCESS, request.id(), 1);
        if (request.connection() != firstConnection) {
            return keep(own, List.of());
        }
        return nextAnswer(now, own);
    }

    private ScriptedServer.Answer firstAnswer(Case now, String id) {
        Shape wholeShape = now.shape == Shape.CHUNKED ? Shape.CHUNKED : Shape.LENGTH;
        String first = encode(wholeShape, now.firstStatus, id, now.events);
        String second = second(now);
        return switch (now.moment) {
            case IDLE, RACING -> keep(first, List.of(later(now.delayMillis, second)));
            case SPLIT -> keep(first, List.of(later(now.delayMillis, firstHalf(second))));
            default -> keep(first, List.of());
        };
    }

    private ScriptedServer.Answer nextAnswer(Case now, String own) {
        String second = second(now);
        ScriptedServer.Later ownLater = later(OWN_ANSWER_MILLIS, own);
        return switch (now.moment) {
            case IN_PROGRESS -> keep("", List.of(later(now.delayMillis, second), ownLater));
            case SPLIT -> keep(secondHalf(second), List.of(ownLater));
            case IN_HALVES ->
                    keep(
                            firstHalf(second),
                            List.of(later(now.delayMillis, secondHalf(second) + own)));
            default -> keep(own, List.of());
        };
    }

    private static ScriptedServer.Answer keep(String bytes, List<ScriptedServer.Later> later) {
        return new ScriptedServer.Answer(bytes, ScriptedServer.End.KEEP, null, later);
    }

    private static ScriptedServer.Later later(long delayMillis, String bytes) {
        return new ScriptedServer.Later(delayMillis, bytes);
    }

    private String second(Case now) {
        return encode(now.shape, now.secondStatus, firstId, now.events);
    }

    private static String firstHalf(String bytes) {
        return bytes.substring(0, bytes.length() / 2);
    }

    private static String secondHalf(String bytes) {
        return bytes.substring(bytes.length() / 2);
    }

    private static String body(String id, int events) {
        StringBuilder body = new StringBuilder();
        for (int event = 1; event <= events; event++) {
            String filling = events == 1 ? "" : "x".repeat(FILLED_EVENT_BYTES);
            body.append("id: ").append(event).append("\ndata: ").append(id).append(filling);
            body.append("\n\n");
        }
        return body.toString();
    }

    private static String encode(Shape shape, int status, String id, int events) {
        if (status == 204) {
            String head = "HTTP/1.1 204 No Content\r\ntarragonlug-response-seal: s\r\n";
            String whole = head + "tarragonlug-request-id: " + id + "\r\n\r\n";
            return shape.isWhole() ? whole : firstHalf(whole);
        }
        String body = body(id, events);
        boolean rejection = status == 503 || status == 421;
        String headers =
                (status == SUCCESS ? "tarragonlug-response-seal: s\r\n" : "")
                        + (rejection ? "tarragonlug-not-executed: 1\r\n" : "");
        String whole = ScriptedServer.answer(status, id, headers, body);
        return switch (shape) {
            case LENGTH -> whole;
            case CHUNKED ->
                    ScriptedServer.answer(status, id, headers, "")
                                    .replace("content-length: 0", "transfer-encoding: chunked")
                            + chunks(body);
            case CUT_IN_HEAD -> whole.substring(0, whole.indexOf("\r\n\r\n") / 2);
            case CUT_IN_BODY -> whole.substring(0, whole.length() - body.length() / 2);
        };
    }

    private static String chunks(String body) {
        String middle = Integer.toHexString(body.length() / 2);
        String rest = Integer.toHexString(body.length() - body.length() / 2);
        return middle
                + "\r\n"
                + firstHalf(body)
                + "\r\n"
                + rest
                + "\r\n"
                + secondHalf(body)
                + "\r\n0\r\n\r\n";
    }

    private void play(Case each, Next next, Map<String, Integer> outcomes) throws Exception {
        current = each;
        firstId = "";
        fixture.send(0, next.path, next.model, "x");
        if (each.moment == Moment.IDLE || each.moment == Moment.SPLIT) {
            Thread.sleep(each.delayMillis + ARRIVAL_MILLIS);
        }
        HttpResponse<String> answer = fixture.send(0, next.path, next.model, "x");
        String outcome = outcome(answer, body(fixture.lastRequestId(), 1));
        outcomes.merge(each.shape + " " + outcome, 1, Integer::sum);
    }

    private static String outcome(HttpResponse<String> answer, String expectedBody) {
        if (answer.statusCode() == SUCCESS && answer.body().equals(expectedBody)) {
            return "own";
        }
        return answer.statusCode() == 502 || answer.statusCode() == 504
                ? "unknown " + answer.statusCode()
                : "wrong " + answer.statusCode();
    }

    // Guards against a caller that gets the late second answer to another request, and against a
    // request that is lost because its own answer comes behind one.
    @ParameterizedTest
    @EnumSource
    void lateSecondAnswerIsNotTheNextOne(Moment moment) throws Exception {
        Map<String, Integer> outcomes = new TreeMap<>();
        int[][] statuses = {
            {200, 200}, {200, 421}, {200, 500}, {204, 204}, {404, 404}, {500, 200}, {503, 503}
        };
        int[] lengths = {1, 6, 40};
        long[] delays = {3, 40, 12, 3, 25, 8, 300};
        int count = 0;
        for (Shape shape : Shape.values()) {
            for (int round = 0; round < CASES_PER_SHAPE; round++) {
                int[] status = statuses[round % statuses.length];
                int events = lengths[count % lengths.length];
                long delay = delays[(count + round / delays.length) % delays.length];
                Next next = Next.values()[count % Next.values().length];
                play(new Case(moment, shape, status[0], status[1], events, delay), next, outcomes);
                count++;
            }
        }
        assertTrue(
                outcomes.keySet().stream().noneMatch(each -> each.contains("wrong")),
                outcomes.toString());
        assertEquals(CASES_PER_SHAPE, outcomes.get("LENGTH own"), outcomes.toString());
        assertEquals(CASES_PER_SHAPE, outcomes.get("CHUNKED own"), outcomes.toString());
        assertEquals(List.of(), idsSentTwice);
    }

    // Guards against the late copy of a refusal that answers the repetition of its own request, to
    // which it can not be told from the answer.
    @Test
    void requestIsNotRepeatedOnTheConnectionOfItsRefusal() throws Exception {
        for (int delay = 3; delay < 100; delay += 6) {
            current = new Case(Moment.RACING, Shape.LENGTH, 503, 503, 1, delay);
            firstId = "";
            HttpResponse<String> answer = fixture.send(0, "/ask/1", "m1", "x");
            assertEquals("own", outcome(answer, body(fixture.lastRequestId(), 1)));
            long sends = idsByConnection.stream().filter(this::isOfLastRequest).count();
            assertTrue(sends >= 2, "the request was sent again");
        }
        assertEquals(List.of(), idsSentTwice);
    }

    private boolean isOfLastRequest(String idByConnection) {
        return idByConnection.endsWith(" " + fixture.lastRequestId());
    }
}
