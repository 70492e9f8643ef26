package org.tarragonlug.runtime;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonlug.decision.capacity.FencingKind;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.misc.Durations;

/**
 * Reads settings and reports every fault at once, each with path, finding and remedy.
 *
 * <p>Addresses are IP numbers, so that starting needs no name service.
 */
public final class SettingsLoader {
    private final JsonSchema schema;

    /** Loads the schema. */
    public SettingsLoader() {
        JsonSchemaFactory factory = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012);
        try (InputStream input =
                SettingsLoader.class.getResourceAsStream("/schema/settings.json")) {
            schema = factory.getSchema(input);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    /**
     * Reads a file of settings.
     *
     * @param file a JSON file
     * @return the settings
     * @throws TarragonlugException {@code SETTINGS_INVALID}, naming every fault
     */
    public Settings load(Path file) throws TarragonlugException {
        JsonNode root = read(file);
        List<Fault> faults = check(root);
        if (!faults.isEmpty()) {
            throw invalid(file, faults);
        }
        return settings(root);
    }

    private static JsonNode read(Path file) throws TarragonlugException {
        try {
            return Json.readFile(file);
        } catch (JsonProcessingException malformed) {
            Fault fault = new Fault("$", malformed.getOriginalMessage(), "write valid JSON");
            throw invalid(file, List.of(fault));
        } catch (IOException unreadable) {
            Fault fault = new Fault("$", "cannot be read: " + unreadable, "name a readable file");
            throw invalid(file, List.of(fault));
        }
    }

    private static TarragonlugException invalid(Path file, List<Fault> faults) {
        StringBuilder text = new StringBuilder(file.toString());
        for (Fault fault : faults) {
            text.append("\n  ").append(fault);
        }
        return new TarragonlugException(ErrorCode.SETTINGS_INVALID, text.toString());
    }

    /**
     * Checks settings.
     *
     * @param root the parsed file
     * @return all faults; empty if there are none
     */
    public List<Fault> check(JsonNode root) {
        if (root.isMissingNode()) {
            return List.of(new Fault("$", "the file is empty", "write the settings into it"));
        }
        List<Fault> faults = new ArrayList<>();
        for (ValidationMessage message : schema.validate(root)) {
            faults.add(fault(message));
        }
        new SettingsChecker(root, faults).check();
        return faults;
    }

    private static Fault fault(ValidationMessage message) {
        String path = message.getInstanceLocation().toString();
        String found = String.valueOf(message.getInstanceNode());
        String field = message.getProperty();
        String rule = message.getMessage().replaceFirst("^[^:]*: ", "");
        return switch (message.getType()) {
            case "required" ->
                    new Fault(path, "the field " + field + " is missing", "add the field " + field);
            case "additionalProperties" ->
                    new Fault(path, "unknown field " + field, "remove it or correct its name");
            case "pattern" ->
                    new Fault(
                            path,
                            found,
                            "use IP:port for addresses, 500ms, 30s or 5m for durations");
            case "type" -> new Fault(path, rule, "write a value of the expected type");
            case "minLength" -> new Fault(path, "an empty text", "write a name");
            default -> new Fault(path, found, "the value " + rule);
        };
    }

    private static Settings settings(JsonNode root) {
        JsonNode platform = root.get("platform");
        List<InetSocketAddress> peers = new ArrayList<>();
        root.path("peers").forEach(peer -> peers.add(address(peer)));
        Map<ServerGroup, FencingKind> fencing = new HashMap<>();
        root.path("fencing")
                .fields()
                .forEachRemaining(
                        field ->
                                fencing.put(
                                        new ServerGroup(field.getKey()),
                                        FencingKind.valueOf(field.getValue().asText())));
        return new Settings(
                root.get("deployment").asText(),
                new InstanceId(root.get("instance").asText()),
                new FailureDomain(root.get("failureDomain").asText()),
                address(root.get("callerAddress")),
                address(root.get("adminAddress")),
                address(root.get("peerAddress")),
                address(platform.get("objectApi")),
                address(platform.get("instanceList")),
                address(platform.get("weightStore")),
                peers,
                fencing,
                limits(root.path("limits")));
    }

    private static Settings.Limits limits(JsonNode node) {
        Settings.Limits defaults = Settings.Limits.DEFAULT;
        return new Settings.Limits(
                node.path("bodyBytes").asLong(defaults.bodyBytes()),
                node.path("headerBytes").asInt(defaults.headerBytes()),
                duration(node.path("requestTime"), defaults.requestTime()),
                node.path("connections").asInt(defaults.connections()),
                duration(node.path("drainTime"), defaults.drainTime()));
    }

    private static Duration duration(JsonNode node, Duration defaultValue) {
        return node.isTextual() ? Durations.parse(node.asText()).orElse(defaultValue) : defaultValue;
    }

    private static InetSocketAddress address(JsonNode node) {
        return Addresses.parse(node.asText()).orElseThrow();
    }
}
