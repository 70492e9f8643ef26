package org.tarragonlug.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.misc.Durations;

/**
 * Checks what the schema of settings cannot express: ports, addresses that others must reach,
 * distinct addresses and the bounds of durations. Fields that are missing or of another form are
 * left to the schema, so that each fault is reported once.
 */
final class SettingsChecker {
    private static final Duration MINIMUM_REQUEST_TIME = Duration.ofMillis(100);
    private static final Duration MAXIMUM_REQUEST_TIME = Duration.ofMinutes(10);
    private static final Duration MAXIMUM_DRAIN_TIME = Duration.ofHours(1);

    private final JsonNode root;
    private final List<Fault> faults;
    private final Map<InetSocketAddress, String> fieldsByListenAddress = new HashMap<>();

    SettingsChecker(JsonNode root, List<Fault> faults) {
        this.root = root;
        this.faults = faults;
    }

    void check() {
        checkListenAddress("callerAddress");
        checkListenAddress("adminAddress");
        checkListenAddress("peerAddress");
        checkConnectable("$.peerAddress", root.path("peerAddress"));
        root.path("platform")
                .fields()
                .forEachRemaining(
                        field -> checkRemoteAddress("$.platform." + field.getKey(), field.getValue()));
        JsonNode peers = root.path("peers");
        for (int index = 0; index < peers.size(); index++) {
            checkRemoteAddress("$.peers[" + index + "]", peers.path(index));
        }
        JsonNode limits = root.path("limits");
        checkDuration(limits, "requestTime", MINIMUM_REQUEST_TIME, MAXIMUM_REQUEST_TIME);
        checkDuration(limits, "drainTime", Duration.ZERO, MAXIMUM_DRAIN_TIME);
    }

    private void checkListenAddress(String field) {
        Optional<InetSocketAddress> address = parse("$." + field, root.path(field));
        if (address.isEmpty() || address.get().getPort() == 0) {
            return;
        }
        String other = fieldsByListenAddress.putIfAbsent(address.get(), field);
        if (other != null) {
            addFault("$." + field, "the same address as " + other, "give each its own port");
        }
    }

    private void checkRemoteAddress(String path, JsonNode node) {
        if (parse(path, node).isPresent()) {
            checkConnectable(path, node);
        }
    }

    private void checkConnectable(String path, JsonNode node) {
        Optional<InetSocketAddress> address = Addresses.parse(node.asText());
        if (address.isEmpty()) {
            return;
        }
        if (address.get().getPort() == 0) {
            addFault(path, node.toString(), "use a port from 1 to 65535, as others connect to it");
        }
        if (address.get().getAddress().isAnyLocalAddress()) {
            addFault(path, node.toString(), "use the address that others connect to");
        }
    }

    private Optional<InetSocketAddress> parse(String path, JsonNode node) {
        Optional<InetSocketAddress> address = Addresses.parse(node.asText());
        if (address.isEmpty()
                && node.asText().matches("(\\d{1,3}(\\.\\d{1,3}){3}|\\[.+]):\\d{1,5}")) {
            addFault(path, node.toString(), "use an IP number and a port up to 65535");
        }
        return address;
    }

    private void checkDuration(JsonNode limits, String field, Duration minimum, Duration maximum) {
        Optional<Duration> duration = Durations.parse(limits.path(field).asText());
        if (duration.isEmpty()) {
            return;
        }
        if (duration.get().compareTo(minimum) < 0 || duration.get().compareTo(maximum) > 0) {
            addFault(
                    "$.limits." + field,
                    limits.path(field).toString(),
                    "use " + Durations.text(minimum) + " to " + Durations.text(maximum));
        }
    }

    private void addFault(String path, String found, String remedy) {
        faults.add(new Fault(path, found, remedy));
    }
}
