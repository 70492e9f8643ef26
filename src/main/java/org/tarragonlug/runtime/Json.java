package org.tarragonlug.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tarragonlug.misc.JsonTree;

/** Helpers to read and write JSON documents. */
public final class Json {
    private Json() {}

    /** Holds the mapper, which is created when it is first used. */
    private static final class Mapper {
        private static final ObjectMapper INSTANCE = new ObjectMapper();
    }

    /** Returns a thread-safe mapper with default settings. */
    public static ObjectMapper mapper() {
        return Mapper.INSTANCE;
    }

    /** Creates an empty JSON object. */
    public static ObjectNode object() {
        return JsonTree.object();
    }

    /**
     * Serializes a node.
     *
     * @param node any node
     * @return UTF-8 text
     */
    public static byte[] bytes(JsonNode node) {
        return JsonTree.bytes(node);
    }

    /**
     * Parses a JSON document.
     *
     * @param bytes UTF-8 text
     * @return the document's root; a missing node if there are no bytes
     * @throws IOException if the text is not valid JSON
     */
    public static JsonNode read(byte[] bytes) throws IOException {
        return JsonTree.read(bytes);
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
        return JsonTree.readStrictly(Files.readAllBytes(file));
    }
}
