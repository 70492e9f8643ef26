package org.tarragonlug.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.quota.QuotaTolerance;
import org.tarragonlug.decision.watching.WatchLimits;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.Fault;
import org.tarragonlug.runtime.Json;

/**
 * Reads the settings of a gateway and reports all faults together.
 *
 * <p>Limits that the platform does not provide have defaults; addresses and names have none.
 * Unknown fields are ignored, because newer platforms may provide more of them.
 */
public final class GatewaySettingsLoader {
    private static final int DEFAULT_DRAIN_SECONDS = 8;
    private static final Duration DEFAULT_ORDER_TURN = Duration.ofMillis(3000);
    private static final int DEFAULT_ORDER_GROUPS = 8;
    private static final int DEFAULT_LOAD_WINDOW_SECONDS = 5;
    private static final int DEFAULT_RETRY_WINDOW_SECONDS = 10;
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final double DEFAULT_RETRY_ALLOWANCE = 8;
    private static final int DEFAULT_INSTANCES = 100;
    private static final int DEFAULT_DESCRIPTORS = 1024;

    /**
     * File descriptors reserved for files and for connections to servers, peers and the store. The
     * rest limits the connections of callers; this limit is never lower than the reserved number.
     */
    private static final int RESERVED_DESCRIPTORS = 600;

    private final List<Fault> faults = new ArrayList<>();
    private JsonNode root;

    /**
     * Reads a settings file.
     *
     * @param file a JSON file
     * @return the settings, with defaults for absent limits
     * @throws TarragonlugException {@code SETTINGS_INVALID}; the message lists every fault with its
     *     path and remedy
     */
    public GatewaySettings load(Path file) throws TarragonlugException {
        faults.clear();
        try {
            root = Json.readFile(file);
        } catch (JsonProcessingException malformed) {
            throw invalid(file, new Fault("$", malformed.getOriginalMessage(), "write valid JSON"));
        } catch (IOException unreadable) {
            throw invalid(
                    file, new Fault("$", "cannot be read: " + unreadable, "name a readable file"));
        }
        GatewaySettings settings = read();
        if (!faults.isEmpty()) {
            throw invalid(file, faults.toArray(new Fault[0]));
        }
        return settings;
    }

    private GatewaySettings read() {
        String instance = text("instance");
        String domain = text("failureDomain");
        int descriptors = (int) number("descriptors", DEFAULT_DESCRIPTORS);
        return new GatewaySettings(
                new InstanceId(instance),
                new FailureDomain(domain),
                address("callerAddress"),
                address("readinessAddress"),
                address("peerAddress"),
                address("adminAddress"),
                address("storeAddress"),
                seconds("drainSeconds", DEFAULT_DRAIN_SECONDS),
                root.path("firstStart").asBoolean(true),
                millis("orderTurnMillis", DEFAULT_ORDER_TURN),
                (int) number("orderGroups", DEFAULT_ORDER_GROUPS),
                seconds("loadWindowSeconds", DEFAULT_LOAD_WINDOW_SECONDS),
                seconds("retryWindowSeconds", DEFAULT_RETRY_WINDOW_SECONDS),
                number("retryRatio", DEFAULT_RETRY_RATIO),
                number("retryAllowance", DEFAULT_RETRY_ALLOWANCE),
                (int) number("instances", DEFAULT_INSTANCES),
                Math.max(RESERVED_DESCRIPTORS, descriptors - RESERVED_DESCRIPTORS),
                number("processorShare", 1) * number("processors", 1),
                watchLimits(),
                quotaTolerance());
    }

    /** Reads the tolerance; without its window there is none. */
    private Optional<QuotaTolerance> quotaTolerance() {
        Duration window = seconds("quotaWindowSeconds", 0);
        if (window.isZero()) {
            return Optional.empty();
        }
        return Optional.of(
                new QuotaTolerance(window, number("quotaOverage", 0), number("quotaSlack", 0)));
    }

    private WatchLimits watchLimits() {
        WatchLimits defaults = WatchLimits.DEFAULT;
        return new WatchLimits(
                millis("silenceLimitMillis", defaults.silenceLimit()),
                millis("newsLimitMillis", defaults.newsLimit()),
                millis("reportIntervalMillis", defaults.reportInterval()));
    }

    private String text(String field) {
        JsonNode value = root.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            faults.add(
                    new Fault(
                            "$." + field,
                            "is missing, empty or not a string",
                            "set it to a non-empty string"));
            return "unknown";
        }
        return value.textValue();
    }

    private InetSocketAddress address(String field) {
        Optional<InetSocketAddress> address = Addresses.parse(root.path(field).asText());
        if (address.isEmpty()) {
            faults.add(
                    new Fault(
                            "$." + field,
                            "is missing or not an address",
                            "set it to an IP address and a port, such as 10.0.0.1:8080"));
        }
        return address.orElse(null);
    }

    private Duration millis(String field, Duration defaultValue) {
        return Duration.ofMillis((long) number(field, defaultValue.toMillis()));
    }

    private Duration seconds(String field, double defaultValue) {
        return Duration.ofMillis(Math.round(number(field, defaultValue) * 1000));
    }

    private double number(String field, double defaultValue) {
        JsonNode value = root.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.doubleValue() < 0) {
            faults.add(
                    new Fault(
                            "$." + field,
                            "is not a number or is negative",
                            "set it to a number of zero or more"));
            return defaultValue;
        }
        return value.doubleValue();
    }

    private static TarragonlugException invalid(Path file, Fault... found) {
        StringBuilder text = new StringBuilder(file.toString());
        for (Fault fault : found) {
            text.append("\n  ").append(fault);
        }
        return new TarragonlugException(ErrorCode.SETTINGS_INVALID, text.toString());
    }
}
