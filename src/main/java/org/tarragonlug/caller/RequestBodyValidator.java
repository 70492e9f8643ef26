package org.tarragonlug.caller;

import com.fasterxml.jackson.databind.JsonNode;

/** Validates the body of a model request. Unknown fields are not checked; the engine gets them. */
final class RequestBodyValidator {
    private static final int MAXIMUM_TOKENS = 1 << 20;

    private RequestBodyValidator() {}

    /**
     * Finds the first error in a body.
     *
     * @param body the parsed body
     * @return description of the error with the JSON path of the field; empty if the body is valid
     */
    static String findError(JsonNode body) {
        if (!body.isObject()) {
            return "the body must be a JSON object";
        }
        if (!body.path("model").isTextual() || body.path("model").asText().isEmpty()) {
            return "$.model must be a non-empty text";
        }
        if (body.has("stream") && !body.path("stream").isBoolean()) {
            return "$.stream must be true or false";
        }
        JsonNode limit = body.path("max_tokens");
        if (!limit.isMissingNode()
                && !(limit.isIntegralNumber()
                        && limit.canConvertToInt()
                        && limit.asInt() >= 1
                        && limit.asInt() <= MAXIMUM_TOKENS)) {
            return "$.max_tokens must be a whole number from 1 to " + MAXIMUM_TOKENS;
        }
        return findInputError(body);
    }

    private static String findInputError(JsonNode body) {
        JsonNode messages = body.path("messages");
        JsonNode prompt = body.path("prompt");
        if (messages.isMissingNode() && prompt.isMissingNode()) {
            return "$.messages or $.prompt must be present";
        }
        if (!messages.isMissingNode() && (!messages.isArray() || messages.isEmpty())) {
            return "$.messages must be a non-empty array";
        }
        for (int index = 0; index < messages.size(); index++) {
            JsonNode message = messages.get(index);
            if (!message.path("role").isTextual() || message.path("content").isMissingNode()) {
                return "$.messages[" + index + "] must have a role and a content";
            }
        }
        if (!prompt.isMissingNode() && !prompt.isTextual()) {
            return "$.prompt must be a text";
        }
        return "";
    }
}
