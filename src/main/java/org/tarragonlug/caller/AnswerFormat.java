package org.tarragonlug.caller;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.runtime.Json;

/**
 * Writes answers as JSON in the format of the chat and completion APIs that callers' client
 * libraries expect (docs/api.md).
 */
final class AnswerFormat {
    private static final String CHAT_PATH_SEGMENT = "/chat/";

    private final String id;
    private final String model;
    private final boolean chat;
    private final String chunkStart;

    AnswerFormat(CallerRequest request) {
        this.id = request.id().value();
        this.model = request.model().orElse("");
        this.chat = request.path().contains(CHAT_PATH_SEGMENT);
        this.chunkStart =
                "data: {\"id\":\""
                        + id
                        + "\",\"object\":\""
                        + (chat ? "chat.completion.chunk" : "text_completion")
                        + "\",\"model\":\""
                        + quote(model)
                        + "\",\"choices\":[{\"index\":0,";
    }

    private static String quote(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }

    /**
     * Returns the server-sent event of one token. The JSON is concatenated by hand instead of being
     * built as a tree, because this method runs once for each token.
     */
    String tokenEvent(String text) {
        String content = quote(text);
        String choice =
                chat
                        ? "\"delta\":{\"content\":\"" + content + "\"}"
                        : "\"text\":\"" + content + "\"";
        return chunkStart + choice + ",\"finish_reason\":null}]}\n\n";
    }

    String endEvents(int tokens, String checksum) {
        ObjectNode event = Json.object();
        event.put("id", id);
        event.put("object", chat ? "chat.completion.chunk" : "text_completion");
        event.put("model", model);
        ObjectNode choice = event.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", "stop");
        addUsage(event, tokens, checksum);
        return "data: " + event + "\n\ndata: [DONE]\n\n";
    }

    String errorEvent(ObjectNode error) {
        return "data: " + error + "\n\n";
    }

    ObjectNode completeAnswer(String text, int tokens, String checksum) {
        ObjectNode answer = Json.object();
        answer.put("id", id);
        answer.put("object", chat ? "chat.completion" : "text_completion");
        answer.put("model", model);
        ArrayNode choices = answer.putArray("choices");
        ObjectNode choice = choices.addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", "stop");
        addUsage(answer, tokens, checksum);
        return answer;
    }

    private static void addUsage(ObjectNode answer, int tokens, String checksum) {
        answer.putObject("usage").put("completion_tokens", tokens);
        answer.put("checksum", checksum);
    }

    ObjectNode error(
            ErrorCode code, Execution execution, Optional<Duration> retryAfter, String detail) {
        ObjectNode answer = Json.object();
        ObjectNode error = answer.putObject("error");
        error.put("code", code.code());
        error.put("message", code.message(detail));
        error.put("type", code.status() < 500 ? "invalid_request_error" : "server_error");
        error.put("execution", execution.text().replace(' ', '_').toLowerCase(Locale.ROOT));
        error.put("remedy", code.remedy());
        retryAfter.ifPresent(time -> error.put("retry_after_ms", time.toMillis()));
        error.put("request_id", id);
        return answer;
    }
}
