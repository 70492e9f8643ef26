package org.tarragonlug.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.tarragonlug.decision.account.AccountDirectory;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.account.QuotaUnit;
import org.tarragonlug.decision.forwarding.ForwardingRoute;
import org.tarragonlug.decision.forwarding.ForwardingService;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.decision.forwarding.RequestKind;
import org.tarragonlug.decision.forwarding.WeightedService;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServiceName;

/**
 * Decodes the configuration that the operator writes into the store.
 *
 * <p>The store accepts only valid configurations. If a stored configuration nevertheless cannot be
 * decoded, decoding fails with an {@link IllegalArgumentException}, and the gateway keeps the
 * configuration in force.
 */
public final class ConfigurationDecoder {
    /** Field of a route: how many servers one request may be sent to. */
    public static final String MAX_ATTEMPTS = "max_attempts";

    /** Field of a route: what the paths of its requests begin with. */
    public static final String PATH_PREFIX = "path_prefix";

    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Cost in tokens of a request without a token count if the configuration states none. */
    private static final double DEFAULT_PLAIN_TOKENS = 1;

    private ConfigurationDecoder() {}

    /**
     * Decodes a configuration.
     *
     * @param spec the content of the stored object
     * @return the routes and services of the configuration
     * @throws IllegalArgumentException if a required field is missing or malformed
     */
    public static ForwardingTable decode(JsonNode spec) {
        List<ForwardingRoute> routes = new ArrayList<>();
        for (JsonNode node : JsonFields.array(spec, "routes")) {
            routes.add(route(node));
        }
        List<ForwardingService> services = new ArrayList<>();
        for (JsonNode node : JsonFields.array(spec, "services")) {
            services.add(service(node));
        }
        long version = JsonFields.count(spec, "version");
        return new ForwardingTable(
                new ConfigurationVersion(version),
                routes,
                services,
                bodyLimit(spec),
                accounts(spec));
    }

    private static AccountDirectory accounts(JsonNode spec) {
        if (spec.path("tenants").isMissingNode() || spec.path("tenants").isNull()) {
            return AccountDirectory.EMPTY;
        }
        List<ClientAccount> accounts = new ArrayList<>();
        for (JsonNode node : JsonFields.array(spec, "tenants")) {
            accounts.add(account(node));
        }
        return new AccountDirectory(accounts);
    }

    private static ClientAccount account(JsonNode node) {
        JsonNode priority = node.path("priority");
        String name = JsonFields.text(node, "name");
        if (name.chars().anyMatch(Character::isISOControl)) {
            // The name is sent to servers in a header.
            throw new IllegalArgumentException(
                    "the name of an account has a control character; remove it");
        }
        return new ClientAccount(
                new AccountName(name),
                AccountKeys.digests(node),
                priority.isNumber() ? OptionalInt.of(priority.asInt()) : OptionalInt.empty(),
                quota(node));
    }

    /** Decodes the quota of an account; a rate of 0 means that its use is not limited. */
    private static Optional<Quota> quota(JsonNode node) {
        double rate = optionalNumber(node, "rate_per_s", 0);
        if (rate == 0) {
            return Optional.empty();
        }
        QuotaUnit unit =
                node.path("unit").asText().equals("token_route")
                        ? QuotaUnit.TOKENS
                        : QuotaUnit.REQUESTS;
        return Optional.of(
                new Quota(
                        unit,
                        rate,
                        optionalNumber(node, "burst", 0),
                        (long) optionalNumber(node, "plain_tokens", DEFAULT_PLAIN_TOKENS)));
    }

    private static double optionalNumber(JsonNode node, String field, double absent) {
        JsonNode value = node.path(field);
        return value.isMissingNode() || value.isNull() ? absent : JsonFields.number(node, field);
    }

    private static OptionalLong bodyLimit(JsonNode spec) {
        long bytes = spec.path("limits").path("max_body_bytes").asLong();
        return bytes > 0 ? OptionalLong.of(bytes) : OptionalLong.empty();
    }

    private static ForwardingRoute route(JsonNode node) {
        return new ForwardingRoute(
                new RouteName(JsonFields.text(node, "name")),
                JsonFields.text(node, "host"),
                JsonFields.text(node, PATH_PREFIX),
                kind(JsonFields.text(node, "kind")),
                Duration.ofMillis((long) JsonFields.number(node, "timeout_ms")),
                Duration.ofMillis(node.path("target_latency_ms").asLong()),
                node.path("priority").asInt(),
                targets(node),
                Math.max(1, node.path(MAX_ATTEMPTS).asInt(1)),
                node.path("resumable").asBoolean(false),
                Duration.ofMillis(node.path("gap_target_ms").asLong()),
                node.path("public").asBoolean(false));
    }

    private static RequestKind kind(String text) {
        return switch (text) {
            case "idempotent" -> RequestKind.IDEMPOTENT;
            case "streaming" -> RequestKind.STREAMING;
            // A request of an unknown kind may not be repeatable, so it runs at most once.
            default -> RequestKind.NON_IDEMPOTENT;
        };
    }

    private static List<WeightedService> targets(JsonNode node) {
        List<WeightedService> targets = new ArrayList<>();
        for (JsonNode part : node.path("traffic_split")) {
            targets.add(
                    new WeightedService(
                            new ServiceName(JsonFields.text(part, "service")),
                            (int) JsonFields.number(part, "weight")));
        }
        if (targets.isEmpty()) {
            targets.add(new WeightedService(new ServiceName(JsonFields.text(node, "service")), 1));
        }
        return targets;
    }

    private static ForwardingService service(JsonNode node) {
        JsonNode engine = node.path("engine");
        Optional<ModelCatalog> catalog =
                engine.isObject() ? Optional.of(catalog(engine)) : Optional.empty();
        return new ForwardingService(
                new ServiceName(JsonFields.text(node, "name")),
                catalog,
                node.path("max_conns").asInt(100));
    }

    private static ModelCatalog catalog(JsonNode engine) {
        Map<String, ModelSpecification> models = new LinkedHashMap<>();
        for (JsonNode node : engine.path("models")) {
            ModelSpecification model = model(node);
            models.put(model.name(), model);
        }
        return new ModelCatalog(
                models,
                engine.path("weights_mb").asDouble(),
                engine.path("adapter_slots").asInt(),
                engine.path("loads_per_s").asDouble(1));
    }

    private static ModelSpecification model(JsonNode node) {
        double loadSeconds = node.path("load_s").asDouble();
        return new ModelSpecification(
                JsonFields.text(node, "name"),
                JsonFields.number(node, "weights_mb"),
                seconds(loadSeconds),
                seconds(node.path("warm_s").asDouble(loadSeconds)),
                seconds(node.path("disk_s").asDouble(loadSeconds)),
                node.path("adapters").asInt(),
                node.path("adapter_mb").asDouble());
    }

    private static Duration seconds(double value) {
        return Duration.ofMillis(Math.round(value * MILLIS_PER_SECOND));
    }
}
