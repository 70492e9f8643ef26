package org.tarragonlug.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import org.tarragonlug.platform.ConfigurationDecoder;
import org.tarragonlug.runtime.Json;

/**
 * Builds the configuration that the gateways of a soak get from the store. With client accounts, it
 * has all that there may be; the first one has no quota, the others have quotas of tokens.
 */
final class SoakConfiguration {
    private static final int WEIGHTS_MB = 60;
    private static final int ADAPTER_MB = 1;
    private static final int ADAPTER_SLOTS = 8;
    private static final int AIM_CHANGE_MILLIS = 50;
    private static final String MAXIMUM_BODY = "max_body_bytes";

    private SoakConfiguration() {}

    /** Returns the configuration for a shape. */
    static ObjectNode of(SoakShape shape) throws IOException {
        ObjectNode configuration = (ObjectNode) read("/soak.json");
        for (JsonNode service : configuration.path("services")) {
            if (service.has("engine")) {
                addModels((ObjectNode) service.path("engine"), shape);
            }
        }
        if (shape.accounts() > 0) {
            configuration.setAll((ObjectNode) read("/soak-accounts.json"));
        }
        allowBodies((ObjectNode) configuration.path("limits"), shape.pressure());
        return configuration;
    }

    /**
     * Returns a version of a configuration with the routes that it and the versions just before
     * have added; those of earlier ones are dropped.
     */
    static ObjectNode withAddedRoutes(ObjectNode first, int version) {
        ObjectNode changed = changed(first, version);
        ArrayNode routes = (ArrayNode) changed.path("routes");
        ObjectNode model = ((ObjectNode) route(first, "read"));
        for (int added : AppliedVersions.routesOf(version)) {
            routes.add(
                    model.deepCopy()
                            .put("name", "added-" + added)
                            .put(ConfigurationDecoder.PATH_PREFIX, RequestKind.ADDED.path(added)));
        }
        return changed;
    }

    private static JsonNode route(ObjectNode configuration, String name) {
        for (JsonNode route : configuration.path("routes")) {
            if (route.path("name").asText().equals(name)) {
                return route;
            }
        }
        throw new IllegalArgumentException("the configuration has no route " + name);
    }

    /**
     * Returns a later version of a configuration. The attempts and aims of its routes and its
     * routes that no caller uses differ from those of the version before.
     */
    static ObjectNode changed(ObjectNode first, int version) {
        ObjectNode changed = first.deepCopy();
        changed.put("version", version);
        boolean even = version % 2 == 0;
        ArrayNode routes = (ArrayNode) changed.path("routes");
        for (JsonNode route : routes) {
            int attempts = route.path(ConfigurationDecoder.MAX_ATTEMPTS).asInt();
            int aim = route.path("target_latency_ms").asInt();
            ((ObjectNode) route)
                    .put(
                            ConfigurationDecoder.MAX_ATTEMPTS,
                            attempts > 1 && even ? attempts + 1 : attempts)
                    .put("target_latency_ms", even ? aim + AIM_CHANGE_MILLIS : aim);
        }
        ObjectNode unused = ((ObjectNode) routes.path(0)).deepCopy();
        routes.add(
                unused.put("name", "unused")
                        .put(ConfigurationDecoder.PATH_PREFIX, "/unused-" + version + "/"));
        return changed;
    }

    private static void allowBodies(ObjectNode limits, PressureShape pressure) {
        int allowed = limits.path(MAXIMUM_BODY).asInt();
        limits.put(MAXIMUM_BODY, Math.max(allowed, pressure.largestBodyBytes()));
    }

    private static JsonNode read(String resource) throws IOException {
        try (InputStream input = SoakConfiguration.class.getResourceAsStream(resource)) {
            return Json.read(input.readAllBytes());
        }
    }

    private static void addModels(ObjectNode engine, SoakShape shape) {
        int held = shape.modelsOf(0).size();
        engine.put("weights_mb", held * (WEIGHTS_MB + ADAPTER_SLOTS * ADAPTER_MB));
        engine.put("adapter_slots", ADAPTER_SLOTS);
        ArrayNode models = engine.putArray("models");
        for (int number = 1; number <= shape.models(); number++) {
            models.addObject()
                    .put("name", SoakShape.model(number))
                    .put("weights_mb", WEIGHTS_MB)
                    .put("load_s", 0.3)
                    .put("disk_s", 0.2)
                    .put("warm_s", 0.1)
                    .put("adapters", shape.adapters())
                    .put("adapter_mb", ADAPTER_MB);
        }
    }
}
