package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.concurrent.api.Publisher;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.http.JsonFields;

/**
 * An HTTP answer of a stand-in.
 *
 * @param status HTTP status
 * @param headers response headers
 * @param body the body in parts, sent as they are published
 */
record StandInReply(int status, Map<String, String> headers, Publisher<byte[]> body) {
    static StandInReply json(int status, JsonNode body) {
        return bytes(status, Map.of("content-type", "application/json"), JsonFields.bytes(body));
    }

    static StandInReply bytes(int status, Map<String, String> headers, byte[] body) {
        return new StandInReply(status, headers, Publisher.from(body));
    }

    static StandInReply empty(int status) {
        return new StandInReply(status, Map.of(), Publisher.empty());
    }

    /** Returns the answer with a header added. */
    StandInReply withHeader(String name, String value) {
        Map<String, String> all = new HashMap<>(headers);
        all.put(name, value);
        return new StandInReply(status, all, body);
    }

    static StandInReply error(int status, String code, String message) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.putObject("error").put("code", code).put("message", message);
        return json(status, body);
    }
}
