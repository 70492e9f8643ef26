package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.tarragonlug.decision.configuration.ArtifactLimit;

/**
 * Writes the routes and pools tables of a deployment as JSON. The fields match the records Route
 * and Pool.
 */
final class DeploymentTables {
    private static final int STANDBY_SLOTS = 1;
    private static final int QUEUE_LIMIT = 64;
    private static final int MAXIMUM_BODY_BYTES = 256 * 1024;
    private static final double REQUESTS_PER_SECOND = 200;

    private final Deployment deployment;

    DeploymentTables(Deployment deployment) {
        this.deployment = deployment;
    }

    String routesTable(ObjectNode... rows) {
        ObjectNode table = JsonNodeFactory.instance.objectNode().put("formatVersion", 1);
        ArrayNode routes = table.putArray("routes");
        for (ObjectNode row : rows) {
            routes.add(row);
        }
        return table.toPrettyString();
    }

    ObjectNode poolRoute(
            String name, String path, String pool, String priority, String defaultTimeout) {
        ObjectNode row = route(name, path);
        ArrayNode models = row.putArray("models");
        deployment.pools().stream()
                .filter(candidate -> candidate.name().equals(pool))
                .flatMap(candidate -> candidate.artifactNames().stream())
                .forEach(models::add);
        row.put("pool", pool);
        row.put("idempotent", true).put("keyRequired", false);
        return limits(row, priority, defaultTimeout);
    }

    ObjectNode serviceRoute(String name, String path, boolean idempotent) {
        ObjectNode row = route(name, path);
        row.putArray("models");
        row.put("service", deployment.serviceGroup().value());
        row.put("idempotent", idempotent).put("keyRequired", !idempotent);
        return limits(row, "INTERACTIVE", "10s");
    }

    private static ObjectNode route(String name, String path) {
        ObjectNode row = JsonNodeFactory.instance.objectNode();
        row.put("name", name).put("pathPrefix", path);
        row.putObject("headers");
        row.putArray("versions");
        return row;
    }

    private static ObjectNode limits(ObjectNode row, String priority, String defaultTimeout) {
        return row.put("priority", priority.toLowerCase(Locale.ROOT))
                .put("defaultTimeout", defaultTimeout)
                .put("maximumTimeout", "120s")
                .put("share", 1)
                .put("requestsPerSecond", REQUESTS_PER_SECOND)
                .put("maximumBodyBytes", MAXIMUM_BODY_BYTES);
    }

    String poolsTable() {
        ObjectNode table = JsonNodeFactory.instance.objectNode().put("formatVersion", 1);
        ArrayNode rows = table.putArray("pools");
        for (DeploymentPool pool : deployment.pools()) {
            ObjectNode row = rows.addObject();
            row.put("name", pool.name()).put("group", deployment.engineGroup().value());
            ArrayNode artifacts = row.putArray("artifacts");
            pool.artifacts().forEach(limit -> artifacts.add(artifact(limit)));
            row.put("coldStartWeight", deployment.coldStartWeight());
            row.put("standbySlots", STANDBY_SLOTS).put("queueLimit", QUEUE_LIMIT);
        }
        return table.toPrettyString();
    }

    private static ObjectNode artifact(ArtifactLimit limit) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("artifact", limit.artifact().toString());
        limit.baseModel().ifPresent(base -> node.put("baseModel", base.toString()));
        return node.put("memoryBytes", limit.memoryBytes())
                .put("minimumReplicas", limit.minimumReplicas())
                .put("maximumReplicas", limit.maximumReplicas());
    }
}
