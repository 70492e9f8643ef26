package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.RouteTarget;
import org.tarragonlug.decision.configuration.VersionWeight;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServerGroup;

/**
 * Converts table rows between JSON and Java objects. The JSON must have passed schema validation.
 */
final class RowCodec {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration DEFAULT_MAXIMUM_TIMEOUT = Duration.ofMinutes(5);
    private static final double DEFAULT_REQUESTS_PER_SECOND = 100;
    private static final long DEFAULT_MAXIMUM_BODY_BYTES = 1 << 20;
    private static final int DEFAULT_QUEUE_LIMIT = 200;
    private static final List<String> TABLE_FIELDS =
            List.of("formatVersion", "editedBy", "editedAt", "revision", "operation", "rowEdits");
    private static final List<String> ROUTE_FIELDS =
            List.of(
                    "name",
                    "pathPrefix",
                    "models",
                    "headers",
                    "pool",
                    "service",
                    "versions",
                    "idempotent",
                    "keyRequired",
                    "priority",
                    "defaultTimeout",
                    "maximumTimeout",
                    "share",
                    "requestsPerSecond",
                    "maximumBodyBytes");
    private static final List<String> POOL_FIELDS =
            List.of("name", "group", "artifacts", "coldStartWeight", "standbySlots", "queueLimit");

    /** Arrays within rows whose elements are identified by their artifact. */
    static final List<String> ARTIFACT_ARRAYS = List.of("artifacts", "versions");

    static final List<String> ARTIFACT_FIELDS =
            List.of(
                    "artifact",
                    "weight",
                    "baseModel",
                    "memoryBytes",
                    "minimumReplicas",
                    "maximumReplicas");

    private RowCodec() {}

    static List<String> knownTableFields(String rowsName) {
        List<String> fields = new ArrayList<>(TABLE_FIELDS);
        fields.add(rowsName);
        return fields;
    }

    static List<String> knownRowFields(String rowsName) {
        return rowsName.equals(TableCodec.ROUTES) ? ROUTE_FIELDS : POOL_FIELDS;
    }

    static Route route(JsonNode row) {
        Optional<PoolName> pool = text(row, "pool").map(PoolName::new);
        List<String> models = new ArrayList<>();
        row.path("models").forEach(model -> models.add(model.asText()));
        Map<String, String> headers = new LinkedHashMap<>();
        row.path("headers")
                .fields()
                .forEachRemaining(
                        header -> headers.put(header.getKey(), header.getValue().asText()));
        List<VersionWeight> versions = new ArrayList<>();
        for (JsonNode version : row.path("versions")) {
            versions.add(
                    new VersionWeight(
                            ArtifactId.parse(version.get("artifact").asText()),
                            version.get("weight").asInt()));
        }
        return new Route(
                new RouteName(row.get("name").asText()),
                row.get("pathPrefix").asText(),
                models,
                headers,
                pool.isPresent() ? RouteTarget.POOL : RouteTarget.SERVICE,
                pool,
                text(row, "service").map(ServerGroup::new),
                versions,
                row.path("idempotent").asBoolean(false),
                row.path("keyRequired").asBoolean(false),
                text(row, "priority").map(RowCodec::priority).orElse(Priority.NORMAL),
                text(row, "defaultTimeout").map(DurationText::parse).orElse(DEFAULT_TIMEOUT),
                text(row, "maximumTimeout")
                        .map(DurationText::parse)
                        .orElse(DEFAULT_MAXIMUM_TIMEOUT),
                row.path("share").asInt(1),
                row.path("requestsPerSecond").asDouble(DEFAULT_REQUESTS_PER_SECOND),
                row.path("maximumBodyBytes").asLong(DEFAULT_MAXIMUM_BODY_BYTES));
    }

    static ObjectNode json(Route route) {
        ObjectNode row = JsonNodeFactory.instance.objectNode();
        row.put("name", route.name().value());
        row.put("pathPrefix", route.pathPrefix());
        ArrayNode models = row.putArray("models");
        route.models().forEach(models::add);
        ObjectNode headers = row.putObject("headers");
        new TreeMap<>(route.headers()).forEach(headers::put);
        route.pool().ifPresent(pool -> row.put("pool", pool.value()));
        route.service().ifPresent(service -> row.put("service", service.value()));
        ArrayNode versions = row.putArray("versions");
        for (VersionWeight version : route.versions()) {
            versions.addObject()
                    .put("artifact", version.artifact().toString())
                    .put("weight", version.weight());
        }
        row.put("idempotent", route.idempotent());
        row.put("keyRequired", route.keyRequired());
        row.put("priority", route.priority().name().toLowerCase(Locale.ROOT));
        row.put("defaultTimeout", DurationText.format(route.defaultTimeout()));
        row.put("maximumTimeout", DurationText.format(route.maximumTimeout()));
        row.put("share", route.share());
        row.put("requestsPerSecond", route.requestsPerSecond());
        row.put("maximumBodyBytes", route.maximumBodyBytes());
        return row;
    }

    static Pool pool(JsonNode row) {
        List<ArtifactLimit> artifacts = new ArrayList<>();
        for (JsonNode artifact : row.get("artifacts")) {
            artifacts.add(
                    new ArtifactLimit(
                            ArtifactId.parse(artifact.get("artifact").asText()),
                            text(artifact, "baseModel").map(ArtifactId::parse),
                            artifact.get("memoryBytes").asLong(),
                            artifact.path("minimumReplicas").asInt(0),
                            artifact.path("maximumReplicas").asInt(1)));
        }
        return new Pool(
                new PoolName(row.get("name").asText()),
                new ServerGroup(row.get("group").asText()),
                artifacts,
                row.path("coldStartWeight").asDouble(1),
                row.path("standbySlots").asInt(1),
                row.path("queueLimit").asInt(DEFAULT_QUEUE_LIMIT));
    }

    static ObjectNode json(Pool pool) {
        ObjectNode row = JsonNodeFactory.instance.objectNode();
        row.put("name", pool.name().value());
        row.put("group", pool.group().value());
        ArrayNode artifacts = row.putArray("artifacts");
        for (ArtifactLimit limit : pool.artifacts()) {
            ObjectNode artifact = artifacts.addObject();
            artifact.put("artifact", limit.artifact().toString());
            limit.baseModel().ifPresent(base -> artifact.put("baseModel", base.toString()));
            artifact.put("memoryBytes", limit.memoryBytes());
            artifact.put("minimumReplicas", limit.minimumReplicas());
            artifact.put("maximumReplicas", limit.maximumReplicas());
        }
        row.put("coldStartWeight", pool.coldStartWeight());
        row.put("standbySlots", pool.standbySlots());
        row.put("queueLimit", pool.queueLimit());
        return row;
    }

    private static Optional<String> text(JsonNode row, String field) {
        return row.hasNonNull(field) ? Optional.of(row.get(field).asText()) : Optional.empty();
    }

    private static Priority priority(String text) {
        return Priority.valueOf(text.toUpperCase(Locale.ROOT));
    }
}
