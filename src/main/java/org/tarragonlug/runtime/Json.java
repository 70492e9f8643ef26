package org.tarragonlug.runtime;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

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
}
