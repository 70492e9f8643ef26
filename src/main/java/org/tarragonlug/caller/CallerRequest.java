package org.tarragonlug.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.id.RequestId;

/**
 * A complete request of a caller.
 *
 * @param id unique id, assigned by this system
 * @param method HTTP method
 * @param path path without query
 * @param query query without question mark; empty if there is none
 * @param headers headers with names in lower case; of a repeated header only the last value is kept
 * @param body the body as received; not copied
 * @param json the parsed body of a model request; empty for calls of plain services
 */
public record CallerRequest(
        RequestId id,
        String method,
        String path,
        String query,
        Map<String, String> headers,
        byte[] body,
        Optional<JsonNode> json) {
    /** Path prefix of requests to models; their bodies are JSON. */
    public static final String MODEL_PATH_PREFIX = "/v1/";

    public CallerRequest {
        headers = Map.copyOf(headers);
    }

    /** Returns the model or adapter named in the body; empty if the body names none. */
    public Optional<String> model() {
        return json.map(body -> body.path("model").asText("")).filter(name -> !name.isEmpty());
    }

    /** Tells whether the caller asks for a stream of server-sent events. */
    public boolean streaming() {
        return json.map(body -> body.path("stream").asBoolean(false)).orElse(false);
    }
}
