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
    private static final Duration SHORTEST_REQUEST_TIME = Duration.ofMillis(100);
    private static final Duration LONGEST_REQUEST_TIME = Duration.ofMinutes(10);
    private static final Duration LONGEST_DRAIN_TIME = Duration.ofHours(1);

    private final JsonNode root;
    private final List<Fault> faults;
    private final Map<InetSocketAddress, String> listening = new HashMap<>();

    SettingsChecker(JsonNode root, List<Fault> faults) {
        this.root = root;
        this.faults = faults;
    }

    void check() {
        checkListening("callerAddress");
        checkListening("adminAddress");
        checkListening("peerAddress");
        checkReachable("$.peerAddress", root.path("peerAddress"));
        root.path("platform")
                .fields()
                .forEachRemaining(
                        field -> checkRemote("$.platform." + field.getKey(), field.getValue()));
        JsonNode peers = root.path("peers");
        for (int index = 0; index < peers.size(); index++) {
            checkRemote("$.peers[" + index + "]", peers.path(index));
        }
        JsonNode limits = root.path("limits");
        checkDuration(limits, "requestTime", SHORTEST_REQUEST_TIME, LONGEST_REQUEST_TIME);
        checkDuration(limits, "drainTime", Duration.ZERO, LONGEST_DRAIN_TIME);
    }

    private void checkListening(String field) {
        Optional<InetSocketAddress> address = parse("$." + field, root.path(field));
        if (address.isEmpty() || address.get().getPort() == 0) {
            return;
        }
        String other = listening.putIfAbsent(address.get(), field);
        if (other != null) {
            add("$." + field, "the same address as " + other, "give each its own port");
        }
    }

    private void checkRemote(String path, JsonNode node) {
        if (parse(path, node).isPresent()) {
            checkReachable(path, node);
        }
    }

    private void checkReachable(String path, JsonNode node) {
        Optional<InetSocketAddress> address = Addresses.parse(node.asText());
        if (address.isEmpty()) {
            return;
        }
        if (address.get().getPort() == 0) {
            add(path, node.toString(), "use a port from 1 to 65535, as others connect to it");
        }
        if (address.get().getAddress().isAnyLocalAddress()) {
            add(path, node.toString(), "use the address that others connect to");
        }
    }

    private Optional<InetSocketAddress> parse(String path, JsonNode node) {
        Optional<InetSocketAddress> address = Addresses.parse(node.asText());
        if (address.isEmpty()
                && node.asText().matches("(\\d{1,3}(\\.\\d{1,3}){3}|\\[.+]):\\d{1,5}")) {
            add(path, node.toString(), "use an IP number and a port up to 65535");
        }
        return address;
    }

    private void checkDuration(JsonNode limits, String field, Duration least, Duration most) {
        Optional<Duration> duration = Durations.parse(limits.path(field).asText());
        if (duration.isEmpty()) {
            return;
        }
        if (duration.get().compareTo(least) < 0 || duration.get().compareTo(most) > 0) {
            add(
                    "$.limits." + field,
                    limits.path(field).toString(),
                    "use " + Durations.text(least) + " to " + Durations.text(most));
        }
    }

    private void add(String path, String found, String remedy) {
        faults.add(new Fault(path, found, remedy));
    }
}
