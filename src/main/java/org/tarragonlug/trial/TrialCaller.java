package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.tarragonlug.engine.AnswerChecksum;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.HttpReceiver;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.runtime.Json;

/**
 * Sends requests as a caller would and checks each answer against its own request, by the checksum
 * that the engine computed over both.
 */
final class TrialCaller {
    /** How long after its deadline a request may still be answered before it counts as lost. */
    private static final Duration MARGIN = Duration.ofSeconds(1);

    private final HttpConnections connections;
    private final TrialTally tally;

    TrialCaller(HttpConnections connections, TrialTally tally) {
        this.connections = connections;
        this.tally = tally;
    }

    /** Sends a streamed completion. */
    void generate(
            InetSocketAddress instance,
            String path,
            String model,
            String question,
            int tokens,
            Duration timeout,
            boolean cold) {
        ObjectNode body = Json.object();
        body.put("model", model);
        if (path.contains("/chat/")) {
            body.putArray("messages").addObject().put("role", "user").put("content", question);
        } else {
            body.put("prompt", question);
        }
        body.put("max_tokens", tokens);
        body.put("stream", true);
        tally.sent();
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
                        timeout.plus(MARGIN),
                        ConnectionUse.POOLED),
                new StreamReceiver(ArtifactId.parse(model), body, cold));
    }

    /** Calls a plain service; an empty key means an idempotent call. */
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
        tally.sent();
        connections.start(
                instance,
                new HttpCall(
                        key.isEmpty() ? "GET" : "POST",
                        path,
                        headers,
                        content.getBytes(StandardCharsets.UTF_8),
                        timeout.plus(MARGIN),
                        ConnectionUse.POOLED),
                new CallReceiver(key));
    }

    private void refused(byte[] body, String key) {
        try {
            JsonNode error = Json.read(body).path("error");
            String execution = error.path("execution").asText();
            tally.refused(error.path("code").asText("untyped"), execution);
            if (!key.isEmpty() && execution.equals("not_run")) {
                tally.keyNotRun(key);
            }
        } catch (IOException malformed) {
            tally.wrong("an error is not JSON");
        }
    }

    /** Collects an answer; subclasses judge it. */
    private abstract class Receiver implements HttpReceiver {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        @Override
        public void head(int answerStatus, Map<String, String> headers) {
            status = answerStatus;
        }

        @Override
        public void data(byte[] part) {
            body.write(part, 0, part.length);
        }

        @Override
        public void failed(HttpFailure failure) {
            tally.ended(TrialOutcome.LOST);
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
        private final long startedNanos = System.nanoTime();
        private boolean started;

        StreamReceiver(ArtifactId artifact, JsonNode request, boolean cold) {
            this.artifact = artifact;
            this.request = request;
            this.cold = cold;
        }

        @Override
        public void data(byte[] part) {
            super.data(part);
            if (!started && status() == 200) {
                started = true;
                tally.firstToken(Duration.ofNanos(System.nanoTime() - startedNanos), cold);
            }
        }

        @Override
        public void completed() {
            if (status() != 200) {
                refused(body(), "");
                return;
            }
            try {
                judge(new String(body(), StandardCharsets.UTF_8));
            } catch (IOException malformed) {
                tally.wrong("an event is not JSON");
            }
        }

        private void judge(String events) throws IOException {
            StringBuilder text = new StringBuilder();
            String checksum = "";
            for (String line : events.split("\n")) {
                if (!line.startsWith("data: {")) {
                    continue;
                }
                JsonNode event = Json.read(line.substring(6).getBytes(StandardCharsets.UTF_8));
                if (event.has("error")) {
                    refused(Json.bytes(event), "");
                    return;
                }
                JsonNode choice = event.path("choices").path(0);
                text.append(choice.path("delta").path("content").asText(""));
                text.append(choice.path("text").asText(""));
                checksum = event.path("checksum").asText(checksum);
            }
            String expected = AnswerChecksum.of(artifact, request, text.toString());
            if (!events.endsWith("data: [DONE]\n\n") || !expected.equals(checksum)) {
                tally.wrong("checksum or end differs for " + artifact);
                return;
            }
            tally.ended(TrialOutcome.ANSWERED);
        }
    }

    private final class CallReceiver extends Receiver {
        private final String key;

        CallReceiver(String key) {
            this.key = key;
        }

        @Override
        public void completed() {
            if (status() / 100 == 2) {
                tally.ended(TrialOutcome.ANSWERED);
                if (!key.isEmpty()) {
                    tally.keyAnswered(key);
                }
            } else {
                refused(body(), key);
            }
        }
    }
}
