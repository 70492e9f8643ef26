package org.tarragonlug.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.tarragonlug.misc.JsonTree;

/**
 * Reads the JSON of external systems strictly. A missing field, or a field of another type, causes
 * an {@link IllegalArgumentException} instead of a default value. Unknown fields are ignored.
 */
public final class JsonFields {
    private JsonFields() {}

    /**
     * Parses exactly one JSON value from UTF-8 text.
     *
     * @throws IllegalArgumentException if the text is not JSON
     */
    public static JsonNode parse(byte[] text) {
        return parse(text, JsonTree::read);
    }

    /**
     * Parses a document to which other writers have contributed, so that a value of theirs which is
     * too large to be read does not hide the others. Such a value is read as null.
     *
     * @throws IllegalArgumentException if the text is not JSON
     */
    public static JsonNode parseForeign(byte[] text) {
        return parse(text, JsonTree::readForeign);
    }

    /**
     * Parses exactly one JSON value.
     *
     * @throws IllegalArgumentException if the text is not JSON
     */
    public static JsonNode parse(String text) {
        return parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private interface Reader {
        JsonNode read(byte[] text) throws IOException;
    }

    private static JsonNode parse(byte[] text, Reader reader) {
        try {
            return present(reader.read(text));
        } catch (JsonProcessingException e) {
            // The message of the parser is not used, because it quotes the text, which may be part
            // of a request.
            throw new IllegalArgumentException("the text is not valid JSON");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static JsonNode present(JsonNode node) {
        if (node == null || node.isMissingNode()) {
            throw new IllegalArgumentException("the text is not valid JSON: it is empty");
        }
        return node;
    }

    /** Returns a JSON value as UTF-8 text. */
    public static byte[] bytes(JsonNode node) {
        return JsonTree.bytes(node);
    }

    /** Returns the value of a required string field. */
    public static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw unexpectedValue(field, "a string");
        }
        return value.textValue();
    }

    /** Returns the value of a required integer field; the value must not be negative. */
    public static long count(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw unexpectedValue(field, "an integer of 0 or more");
        }
        return value.longValue();
    }

    /** Returns the value of a required integer field from 0 to {@link Integer#MAX_VALUE}. */
    public static int smallCount(JsonNode node, String field) {
        long value = count(node, field);
        if (value > Integer.MAX_VALUE) {
            throw unexpectedValue(field, "an integer up to " + Integer.MAX_VALUE);
        }
        return (int) value;
    }

    /** Returns the value of a required number field; the value must be finite. */
    public static double number(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw unexpectedValue(field, "a number");
        }
        return value.doubleValue();
    }

    /** Returns the value of a required Boolean field. */
    public static boolean flag(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isBoolean()) {
            throw unexpectedValue(field, "true or false");
        }
        return value.booleanValue();
    }

    /** Returns the value of a required array field. */
    public static JsonNode array(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            throw unexpectedValue(field, "an array");
        }
        return value;
    }

    /** Returns the value of a required object field. */
    public static JsonNode object(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isObject()) {
            throw unexpectedValue(field, "an object");
        }
        return value;
    }

    /** Returns a text percent-encoded for use as one segment of a URL path. */
    public static String pathSegment(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private static IllegalArgumentException unexpectedValue(String field, String expected) {
        return new IllegalArgumentException("field " + field + " is missing or is not " + expected);
    }
}
