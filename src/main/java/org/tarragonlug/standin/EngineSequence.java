package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.concurrent.PublisherSource;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.SplittableRandom;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.engine.AnswerChecksum;
import org.tarragonlug.engine.EngineProtocol;
import org.tarragonlug.id.ArtifactId;

/**
 * A generation in progress. The text depends only on the artifact and the request, so any server
 * can resume it at any offset. Not thread-safe; guarded by the engine's lock.
 */
final class EngineSequence {
    private static final int DEFAULT_TOKENS = 24;
    private static final int MAXIMUM_TOKENS = 4096;
    private static final int PREFIX_LENGTH = 128;

    private final String attempt;
    private final ArtifactId artifact;
    private final Optional<ArtifactId> base;
    private final JsonNode body;
    private final boolean chat;
    private final Priority priority;
    private final SocketAddress connection;
    private final PublisherSource.Subscriber<byte[]> stream;
    private final int tokens;
    private final SplittableRandom random;
    private final StringBuilder text = new StringBuilder();
    private int offset;
    private long readyAt;

    EngineSequence(
            StandInRequest request,
            ArtifactId artifact,
            Optional<ArtifactId> base,
            JsonNode body,
            PublisherSource.Subscriber<byte[]> stream) {
        this.attempt = request.headers().getOrDefault(EngineProtocol.ATTEMPT_HEADER, "");
        this.artifact = artifact;
        this.base = base;
        this.body = body;
        this.chat = request.path().contains("chat");
        this.priority = priority(request);
        this.connection = request.connection();
        this.stream = stream;
        this.tokens = tokenCount(body);
        this.random = new SplittableRandom((artifact + prompt(body)).hashCode());
        int resumeOffset = resumeOffset(request);
        while (offset < Math.min(resumeOffset, tokens)) {
            generateToken();
        }
    }

    static String prompt(JsonNode body) {
        return body.has("messages")
                ? body.path("messages").toString()
                : body.path("prompt").asText();
    }

    private static int tokenCount(JsonNode body) {
        int requested = body.path("max_tokens").asInt(DEFAULT_TOKENS);
        return Math.max(1, Math.min(MAXIMUM_TOKENS, requested));
    }

    private static Priority priority(StandInRequest request) {
        String name = request.headers().get(EngineProtocol.PRIORITY_HEADER);
        try {
            return name == null ? Priority.NORMAL : Priority.valueOf(name);
        } catch (IllegalArgumentException e) {
            return Priority.NORMAL;
        }
    }

    private static int resumeOffset(StandInRequest request) {
        String value = request.headers().getOrDefault(EngineProtocol.RESUME_HEADER, "0");
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    String attempt() {
        return attempt;
    }

    ArtifactId artifact() {
        return artifact;
    }

    Optional<ArtifactId> base() {
        return base;
    }

    Priority priority() {
        return priority;
    }

    SocketAddress connection() {
        return connection;
    }

    String promptText() {
        return prompt(body);
    }

    /** Returns the prefix cache key: the artifact and the first characters of the prompt. */
    String prefixKey() {
        String prompt = prompt(body);
        return artifact + " " + prompt.substring(0, Math.min(PREFIX_LENGTH, prompt.length()));
    }

    long readyAt() {
        return readyAt;
    }

    void setReadyAt(long nanos) {
        readyAt = nanos;
    }

    private String generateToken() {
        String token = "w" + Integer.toString(random.nextInt(36 * 36 * 36), 36) + " ";
        text.append(token);
        offset++;
        return token;
    }

    /**
     * Generates the next token. After the last token, writes the final event and ends the stream.
     *
     * @param silent whether the connection was made silent, in which case nothing is written
     * @return whether the answer is complete
     */
    boolean step(boolean silent) {
        if (offset < tokens) {
            int tokenOffset = offset;
            String token = generateToken();
            if (!silent) {
                write(tokenEvent(tokenOffset, token).toString());
            }
        }
        if (offset < tokens) {
            return false;
        }
        if (!silent) {
            ObjectNode lastEvent = JsonNodeFactory.instance.objectNode();
            lastEvent.putArray("choices");
            lastEvent.putObject("usage").put("completion_tokens", tokens);
            lastEvent.put("checksum", AnswerChecksum.of(artifact, body, text.toString()));
            write(lastEvent.toString());
            write(EngineProtocol.END_OF_STREAM);
            stream.onComplete();
        }
        return true;
    }

    private ObjectNode tokenEvent(int tokenOffset, String token) {
        ObjectNode event = JsonNodeFactory.instance.objectNode();
        event.put("object", chat ? "chat.completion.chunk" : "text_completion");
        event.put("model", artifact.toString());
        ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
        if (chat) {
            choice.putObject("delta").put("content", token);
        } else {
            choice.put("text", token);
        }
        return event.put("offset", tokenOffset);
    }

    private void write(String data) {
        stream.onNext(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Ends the stream without the final event and the end-of-stream mark. */
    void abort() {
        stream.onComplete();
    }
}
