package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import org.tarragonlug.engine.AnswerChecksum;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.HttpReceiver;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.runtime.Json;

/**
 * Sends requests as a caller does. Checks each answer with the checksum that the engine computed
 * over request and answer, so that an answer to another request is detected.
 */
final class TrialCaller {
    /** Time after the deadline of a request until an unanswered request counts as lost. */
    private static final Duration DEADLINE_MARGIN = Duration.ofSeconds(1);

    private final HttpConnections connections;
    private final TrialFleet fleet;
    private final TrialTally tally;
    private final Consumer<String> problems;

    /**
     * Creates a caller.
     *
     * @param connections carries the requests
     * @param fleet names the instances and knows which of them were killed
     * @param tally counts the outcomes of requests
     * @param problems receives each wrong answer and each lost request
     */
    TrialCaller(
            HttpConnections connections,
            TrialFleet fleet,
            TrialTally tally,
            Consumer<String> problems) {
        this.connections = connections;
        this.fleet = fleet;
        this.tally = tally;
        this.problems = problems;
    }

    /** Sends a request for a streamed completion. */
    void generate(
            InetSocketAddress instance,
            String path,
            String model,
            String question,
            int tokens,
            Duration timeout,
            boolean cold) {
        generate(instance, path, model, question, tokens, timeout, cold, outcome -> {});
    }

    /**
     * Sends a request for a streamed completion.
     *
     * @param cold whether no engine has loaded the model; the time to the first token is then
     *     recorded as that of a cold start
     * @param atEnd receives the outcome of the request
     */
    void generate(
            InetSocketAddress instance,
            String path,
            String model,
            String question,
            int tokens,
            Duration timeout,
            boolean cold,
            Consumer<TrialOutcome> atEnd) {
        ObjectNode body = Json.object();
        body.put("model", model);
        if (path.contains("/chat/")) {
            body.putArray("messages").addObject().put("role", "user").put("content", question);
        } else {
            body.put("prompt", question);
        }
        body.put("max_tokens", tokens);
        body.put("stream", true);
        tally.countSent();
        Map<String, String> headers =
                Map.of(
                        "content-type",
                        "application/json",
                        "x-request-timeout-ms",
                        Long.toString(timeout.toMillis()));
        connections.start(
                instance,
                new HttpCall(
                        "POST",
                        path,
                        headers,
                        Json.bytes(body),
                        timeout.plus(DEADLINE_MARGIN),
                        ConnectionUse.POOLED),
                new StreamReceiver(instance, ArtifactId.parse(model), body, cold, atEnd));
    }

    /**
     * Calls a plain service.
     *
     * @param key idempotency key of a call that must run at most once; empty for an idempotent call
     */
    void call(
            InetSocketAddress instance, String path, String key, String content, Duration timeout) {
        Map<String, String> headers =
                key.isEmpty()
                        ? Map.of("x-request-timeout-ms", Long.toString(timeout.toMillis()))
                        : Map.of(
                                "x-request-timeout-ms",
                                Long.toString(timeout.toMillis()),
                                "idempotency-key",
                                key);
        tally.countSent();
        connections.start(
                instance,
                new HttpCall(
                        key.isEmpty() ? "GET" : "POST",
                        path,
                        headers,
                        content.getBytes(StandardCharsets.UTF_8),
                        timeout.plus(DEADLINE_MARGIN),
                        ConnectionUse.POOLED),
                new CallReceiver(instance, key));
    }

    /** Collects an answer. Subclasses check the complete answer. */
    private abstract class Receiver implements HttpReceiver {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final InetSocketAddress instance;
        private final String key;
        private final Consumer<TrialOutcome> atEnd;
        private final long startedNanos = System.nanoTime();
        private int status;

        Receiver(InetSocketAddress instance, String key, Consumer<TrialOutcome> atEnd) {
            this.instance = instance;
            this.key = key;
            this.atEnd = atEnd;
        }

        @Override
        public void onHead(int answerStatus, Map<String, String> headers) {
            status = answerStatus;
        }

        @Override
        public void onData(byte[] part) {
            body.write(part, 0, part.length);
        }

        @Override
        public void onFailed(HttpFailure failure) {
            tally.recordKeyPossiblyRun(key);
            TrialOutcome outcome = TrialOutcome.LOST;
            if (isConnectionBroken(failure) && fleet.wasKilledAfter(instance, startedNanos)) {
                outcome = TrialOutcome.BROKEN_BY_KILL;
            } else {
                problems.accept("lost: " + describe() + ": " + failure.kind() + " " + failure);
            }
            tally.countEnded(outcome);
            atEnd.accept(outcome);
        }

        private boolean isConnectionBroken(HttpFailure failure) {
            return failure.kind() == HttpFailure.Kind.CONNECTION_LOST
                    || failure.kind() == HttpFailure.Kind.NOT_SENT;
        }

        abstract String describeRequest();

        private String describe() {
            long millis = (System.nanoTime() - startedNanos) / 1_000_000;
            return describeRequest()
                    + " sent to "
                    + fleet.describe(instance)
                    + " "
                    + millis
                    + " ms ago, status "
                    + status
                    + ", "
                    + body.size()
                    + " bytes received";
        }

        void onRefusal(byte[] answer) {
            try {
                JsonNode error = Json.read(answer).path("error");
                String execution = error.path("execution").asText();
                if (execution.equals("not_run")) {
                    tally.recordKeyNotRun(key);
                } else {
                    tally.recordKeyPossiblyRun(key);
                }
                tally.countRefused(error.path("code").asText("untyped"), execution);
                atEnd.accept(TrialOutcome.REFUSED);
            } catch (IOException malformed) {
                onWrongAnswer("the error answer is not valid JSON");
            }
        }

        void onWrongAnswer(String detail) {
            tally.recordKeyPossiblyRun(key);
            problems.accept("wrong: " + detail + ": " + describe());
            tally.countWrong(detail);
            atEnd.accept(TrialOutcome.WRONG);
        }

        void onAnswer() {
            if (!key.isEmpty()) {
                tally.recordKeyAnswered(key);
            }
            tally.countEnded(TrialOutcome.ANSWERED);
            atEnd.accept(TrialOutcome.ANSWERED);
        }

        long startedNanos() {
            return startedNanos;
        }

        int status() {
            return status;
        }

        byte[] body() {
            return body.toByteArray();
        }
    }

    private final class StreamReceiver extends Receiver {
        private final ArtifactId artifact;
        private final JsonNode request;
        private final boolean cold;
        private boolean started;

        StreamReceiver(
                InetSocketAddress instance,
                ArtifactId artifact,
                JsonNode request,
                boolean cold,
                Consumer<TrialOutcome> atEnd) {
            super(instance, "", atEnd);
            this.artifact = artifact;
            this.request = request;
            this.cold = cold;
        }

        @Override
        public void onData(byte[] part) {
            super.onData(part);
            if (!started && status() == 200) {
                started = true;
                tally.recordFirstToken(Duration.ofNanos(System.nanoTime() - startedNanos()), cold);
            }
        }

        @Override
        public void onCompleted() {
            if (status() != 200) {
                onRefusal(body());
                return;
            }
            try {
                checkAnswer(new String(body(), StandardCharsets.UTF_8));
            } catch (IOException malformed) {
                onWrongAnswer("an event is not valid JSON");
            }
        }

        private void checkAnswer(String events) throws IOException {
            StringBuilder text = new StringBuilder();
            String checksum = "";
            for (String line : events.split("\n")) {
                if (!line.startsWith("data: {")) {
                    continue;
                }
                JsonNode event = Json.read(line.substring(6).getBytes(StandardCharsets.UTF_8));
                if (event.has("error")) {
                    onRefusal(Json.bytes(event));
                    return;
                }
                JsonNode choice = event.path("choices").path(0);
                text.append(choice.path("delta").path("content").asText(""));
                text.append(choice.path("text").asText(""));
                checksum = event.path("checksum").asText(checksum);
            }
            String expected = AnswerChecksum.of(artifact, request, text.toString());
            if (!events.endsWith("data: [DONE]\n\n") || !expected.equals(checksum)) {
                onWrongAnswer("wrong checksum or missing end of stream for " + artifact);
                return;
            }
            onAnswer();
        }

        @Override
        String describeRequest() {
            return request.toString();
        }
    }

    private final class CallReceiver extends Receiver {
        private final String key;

        CallReceiver(InetSocketAddress instance, String key) {
            super(instance, key, outcome -> {});
            this.key = key;
        }

        @Override
        public void onCompleted() {
            if (status() / 100 == 2) {
                onAnswer();
            } else {
                onRefusal(body());
            }
        }

        @Override
        String describeRequest() {
            return "call with key '" + key + "'";
        }
    }
}
