package org.tarragonlug.runtime;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The JSON mapper shared by a process. */
public final class Json {
    /** Thread-safe mapper with default settings. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Creates an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Writes a node as bytes.
     *
     * @param node any node
     * @return UTF-8 text
     */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("a JSON node cannot be written", impossible);
        }
    }

    /**
     * Reads a node.
     *
     * @param bytes UTF-8 text
     * @return the node
     * @throws IOException if it is not JSON
     */
    public static JsonNode read(byte[] bytes) throws IOException {
        return MAPPER.readTree(bytes);
    }

    /**
     * Reads a file that a person wrote. A field given twice and text after the end are errors,
     * since either is a slip that would otherwise go unnoticed.
     *
     * @param file UTF-8 text
     * @return the document; a missing node if the file is empty
     * @throws com.fasterxml.jackson.core.JsonProcessingException if it is not valid JSON
     * @throws IOException if it cannot be read
     */
    public static JsonNode readFile(Path file) throws IOException {
        return MAPPER.reader()
                .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .with(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                .readTree(Files.readAllBytes(file));
    }
}
