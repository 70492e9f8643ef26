package org.tarragonlug.objectapi;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;

/**
 * The operator's directory: {@code routes.json}, {@code pools.json}, and {@code
 * .tarragonlug-base.json} with the revisions of the tables that the files were fetched from.
 */
final class TableFiles {
    private static final String BASE_FILE = ".tarragonlug-base.json";
    private static final ObjectMapper JSON =
            new ObjectMapper()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final Path directory;

    TableFiles(Path directory) {
        this.directory = directory;
    }

    /** Reads the file of one table. */
    JsonNode read(String table) throws TarragonlugException {
        return read(directory.resolve(table + ".json"));
    }

    /** Returns the revision that a table was fetched at; empty if it was never fetched. */
    OptionalLong baseRevision(String table) throws TarragonlugException {
        Path file = directory.resolve(BASE_FILE);
        if (!Files.exists(file)) {
            return OptionalLong.empty();
        }
        JsonNode revision = read(file).path(table);
        return revision.isIntegralNumber()
                ? OptionalLong.of(revision.asLong())
                : OptionalLong.empty();
    }

    void write(String table, JsonNode content) throws TarragonlugException {
        write(directory.resolve(table + ".json"), content);
    }

    void writeBase(long routesRevision, long poolsRevision) throws TarragonlugException {
        ObjectNode base = JSON.createObjectNode();
        base.put(TableCodec.ROUTES, routesRevision);
        base.put(TableCodec.POOLS, poolsRevision);
        write(directory.resolve(BASE_FILE), base);
    }

    private static JsonNode read(Path file) throws TarragonlugException {
        try {
            return JSON.readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new TarragonlugException(
                    ErrorCode.TABLES_INVALID, "file=" + file + " " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new TarragonlugException(
                    ErrorCode.TABLES_INVALID, "file=" + file + " cannot be read", e);
        }
    }

    private static void write(Path file, JsonNode content) throws TarragonlugException {
        try {
            Files.write(
                    file,
                    List.of(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(content)));
        } catch (IOException e) {
            throw new TarragonlugException(
                    ErrorCode.TABLES_INVALID, "file=" + file + " cannot be written", e);
        }
    }
}
