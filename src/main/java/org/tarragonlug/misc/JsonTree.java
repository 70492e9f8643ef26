package org.tarragonlug.misc;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Iterator;
import java.util.Map;

/**
 * Reads and writes JSON trees with Jackson's parser and generator alone. An object mapper does the
 * same, but its initialisation takes a fifth of the processor time of a process's start.
 */
public final class JsonTree {
    /** Deepest nesting that is read; deeper values could exhaust the stack of a thread. */
    private static final int MAX_DEPTH = 100;

    /** Longest number that is read, in characters. */
    private static final int MAX_NUMBER_LENGTH = 1000;

    /** Longest name of a field that is read, in characters. */
    private static final int MAX_NAME_LENGTH = 8 * 1024 * 1024;

    private static final char REPLACEMENT_CHARACTER = '\ufffd';

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAX_DEPTH)
                                    .maxNumberLength(MAX_NUMBER_LENGTH)
                                    .maxNameLength(MAX_NAME_LENGTH)
                                    .build())
                    .build();

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTree() {}

    /** Creates an empty object. */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * Parses one JSON value.
     *
     * @param bytes UTF-8 text
     * @return the value; a missing node if there is none
     * @throws com.fasterxml.jackson.core.JsonProcessingException if the text is not valid JSON, or
     *     has anything after the value
     */
    public static JsonNode read(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            return readDocument(parser);
        }
    }

    /**
     * Parses a document to which other writers have contributed. Values that are nested too deeply,
     * too long or beyond the range of numbers are read as null, so that the others can be used.
     *
     * @param bytes UTF-8 text
     * @return the value; a missing node if there is none
     * @throws com.fasterxml.jackson.core.JsonProcessingException if the text is not JSON
     */
    public static JsonNode readForeign(byte[] bytes) throws IOException {
        try {
            return read(bytes);
        } catch (JsonProcessingException tooLargeOrNoJson) {
            return read(JsonRepair.repair(bytes, MAX_DEPTH, MAX_NUMBER_LENGTH));
        }
    }

    /**
     * Parses one JSON value in which no object may have two fields of one name.
     *
     * @param bytes UTF-8 text
     * @return the value; a missing node if there is none
     * @throws com.fasterxml.jackson.core.JsonProcessingException if the text is not valid JSON, or
     *     has anything after the value
     */
    public static JsonNode readStrictly(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            parser.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
            return readDocument(parser);
        }
    }

    private static JsonNode readDocument(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) {
            return MissingNode.getInstance();
        }
        JsonNode value = readValue(parser);
        if (parser.nextToken() != null) {
            throw new JsonParseException(parser, "Trailing token after the JSON value");
        }
        return value;
    }

    private static JsonNode readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> NODES.textNode(wellFormed(parser.getText()));
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> readFraction(parser);
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "unexpected token");
        };
    }

    private static ObjectNode readObject(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = wellFormed(parser.currentName());
            parser.nextToken();
            object.set(name, readValue(parser));
        }
        return object;
    }

    private static ArrayNode readArray(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser));
        }
        return array;
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    /** Reads a number; one beyond the range of numbers is read as null, which can be written. */
    private static JsonNode readFraction(JsonParser parser) throws IOException {
        double value = parser.getDoubleValue();
        return Double.isFinite(value) ? NODES.numberNode(value) : NODES.nullNode();
    }

    /** Replaces halves of surrogate pairs, which can be escaped in JSON but not be written. */
    private static String wellFormed(String text) {
        for (int index = 0; index < text.length(); index++) {
            if (Character.isSurrogate(text.charAt(index))) {
                return withoutHalfPairs(text);
            }
        }
        return text;
    }

    private static String withoutHalfPairs(String text) {
        StringBuilder result = new StringBuilder(text.length());
        text.codePoints()
                .map(
                        point ->
                                point >= Character.MIN_SURROGATE && point <= Character.MAX_SURROGATE
                                        ? REPLACEMENT_CHARACTER
                                        : point)
                .forEach(result::appendCodePoint);
        return result.toString();
    }

    /** Returns a value as UTF-8 text. */
    public static byte[] bytes(JsonNode value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            write(value, generator);
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to memory failed", impossible);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonNode value, JsonGenerator generator) throws IOException {
        switch (value.getNodeType()) {
            case OBJECT -> {
                generator.writeStartObject();
                Iterator<Map.Entry<String, JsonNode>> fields = value.fields();
                while (fields.hasNext()) {
                    Map.Entry<String, JsonNode> field = fields.next();
                    generator.writeFieldName(field.getKey());
                    write(field.getValue(), generator);
                }
                generator.writeEndObject();
            }
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode element : value) {
                    write(element, generator);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(value.textValue());
            case NUMBER -> generator.writeNumber(value.asText());
            case BOOLEAN -> generator.writeBoolean(value.booleanValue());
            default -> generator.writeNull();
        }
    }
}
