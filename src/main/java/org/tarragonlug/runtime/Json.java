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

/** The JSON mapper of the process, with helpers to read and write documents. */
public final class Json {
    /** Thread-safe mapper with default settings. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Creates an empty JSON object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Serializes a node.
     *
     * @param node any node
     * @return UTF-8 text
     */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("failed to serialize a JSON node", impossible);
        }
    }

    /**
     * Parses a JSON document.
     *
     * @param bytes UTF-8 text
     * @return the document's root; a missing node if there are no bytes
     * @throws IOException if the text is not valid JSON
     */
    public static JsonNode read(byte[] bytes) throws IOException {
        return MAPPER.readTree(bytes);
    }

    /**
     * Reads a file that a person wrote. Duplicate fields and text after the end of the document are
     * errors, because either is a mistake that would otherwise go unnoticed.
     *
     * @param file a file with UTF-8 text
     * @return the document's root; a missing node if the file is empty
     * @throws com.fasterxml.jackson.core.JsonProcessingException if the content is not valid JSON
     * @throws IOException if the file cannot be read
     */
    public static JsonNode readFile(Path file) throws IOException {
        return MAPPER.reader()
                .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .with(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                .readTree(Files.readAllBytes(file));
    }
}
