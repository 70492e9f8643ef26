package org.tarragonlug.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Reads JSON of outside systems strictly: a missing field or one of another type is an {@link
 * IllegalArgumentException}, never a default value. Unknown fields are ignored.
 */
public final class JsonFields {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private JsonFields() {}

    /** Parses one JSON value. */
    public static JsonNode parse(byte[] text) {
        try {
            return present(MAPPER.readTree(text));
        } catch (JsonProcessingException e) {
            // The parser's message quotes the text, which may be part of a request.
            throw new IllegalArgumentException("not JSON");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Parses one JSON value. */
    public static JsonNode parse(String text) {
        return parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static JsonNode present(JsonNode node) {
        if (node == null || node.isMissingNode()) {
            throw new IllegalArgumentException("not JSON: empty");
        }
        return node;
    }

    /** Returns the UTF-8 text of a JSON value. */
    public static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a required text. */
    public static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw unexpectedType(field, "a text");
        }
        return value.textValue();
    }

    /** Returns a required whole number that is zero or more. */
    public static long count(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw unexpectedType(field, "a whole number of zero or more");
        }
        return value.longValue();
    }

    /** Returns a required whole number from zero to {@link Integer#MAX_VALUE}. */
    public static int smallCount(JsonNode node, String field) {
        long value = count(node, field);
        if (value > Integer.MAX_VALUE) {
            throw unexpectedType(field, "a smaller number");
        }
        return (int) value;
    }

    /** Returns a required number. */
    public static double number(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw unexpectedType(field, "a number");
        }
        return value.doubleValue();
    }

    /** Returns a required truth value. */
    public static boolean flag(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isBoolean()) {
            throw unexpectedType(field, "true or false");
        }
        return value.booleanValue();
    }

    /** Returns a required array. */
    public static JsonNode array(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            throw unexpectedType(field, "an array");
        }
        return value;
    }

    /** Returns a required object. */
    public static JsonNode object(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isObject()) {
            throw unexpectedType(field, "an object");
        }
        return value;
    }

    /** Returns a text percent-encoded as one segment of a path. */
    public static String pathSegment(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private static IllegalArgumentException unexpectedType(String field, String expected) {
        return new IllegalArgumentException("field " + field + " is not " + expected);
    }
}
