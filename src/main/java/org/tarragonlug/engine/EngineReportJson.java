package org.tarragonlug.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.decision.capacity.CacheTier;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/** Reads and writes the report of an engine as JSON. */
public final class EngineReportJson {
    private EngineReportJson() {}

    /**
     * Reads a report.
     *
     * @param server the server that sent the report
     * @param body the JSON of the report
     * @param receivedAt time at which the report was received
     * @return the report
     * @throws IllegalArgumentException if the report is malformed
     */
    public static ServerReport read(ServerId server, JsonNode body, Instant receivedAt) {
        return new ServerReport(
                server,
                JsonFields.text(body, "incarnation"),
                JsonFields.flag(body, "leaving"),
                JsonFields.count(body, "memoryBytes"),
                readSizes(JsonFields.object(body, "loaded")),
                readSizes(JsonFields.object(body, "loading")),
                readTiers(JsonFields.object(body, "cached")),
                readInProgress(JsonFields.array(body, "inProgress")),
                JsonFields.smallCount(body, "running"),
                JsonFields.smallCount(body, "queued"),
                receivedAt);
    }

    /** Writes a report, without the server and the time of receipt. */
    public static ObjectNode write(ServerReport report) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("incarnation", report.incarnation());
        body.put("leaving", report.leaving());
        body.put("memoryBytes", report.memoryBytes());
        ObjectNode loaded = body.putObject("loaded");
        report.loaded().forEach((artifact, bytes) -> loaded.put(artifact.toString(), bytes));
        ObjectNode loading = body.putObject("loading");
        report.loading().forEach((artifact, bytes) -> loading.put(artifact.toString(), bytes));
        ObjectNode cached = body.putObject("cached");
        report.cached().forEach((artifact, tier) -> cached.put(artifact.toString(), tier.name()));
        ArrayNode inProgress = body.putArray("inProgress");
        report.inProgress().forEach(artifact -> inProgress.add(artifact.toString()));
        body.put("running", report.running());
        body.put("queued", report.queued());
        return body;
    }

    private static Map<ArtifactId, Long> readSizes(JsonNode node) {
        Map<ArtifactId, Long> sizes = new HashMap<>();
        node.fieldNames()
                .forEachRemaining(
                        name -> sizes.put(ArtifactId.parse(name), JsonFields.count(node, name)));
        return sizes;
    }

    private static Map<ArtifactId, CacheTier> readTiers(JsonNode node) {
        Map<ArtifactId, CacheTier> tiers = new HashMap<>();
        node.fieldNames()
                .forEachRemaining(
                        name ->
                                tiers.put(
                                        ArtifactId.parse(name),
                                        CacheTier.valueOf(JsonFields.text(node, name))));
        return tiers;
    }

    private static Set<ArtifactId> readInProgress(JsonNode node) {
        Set<ArtifactId> artifacts = new HashSet<>();
        for (JsonNode item : node) {
            if (!item.isTextual()) {
                throw new IllegalArgumentException(
                        "field inProgress contains an element that is not a string");
            }
            artifacts.add(ArtifactId.parse(item.textValue()));
        }
        return artifacts;
    }
}
