package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.function.Supplier;
import org.tarragonlug.decision.account.AccountDirectory;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.decision.forwarding.FleetServer;
import org.tarragonlug.decision.forwarding.ForwardingCoordinator;
import org.tarragonlug.decision.placement.PlacementPlanner;
import org.tarragonlug.decision.quarantine.QuarantineManager;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.runtime.Json;

/** Describes the state of a gateway's parts for operators. */
final class GatewayState {
    private final InstanceId instance;
    private final ForwardingCoordinator coordinator;
    private final PlacementPlanner planner;
    private final OrderLeases leases;
    private final QuarantineManager quarantine;
    private final Supplier<StoreEra> storeEra;

    GatewayState(
            InstanceId instance,
            ForwardingCoordinator coordinator,
            PlacementPlanner planner,
            OrderLeases leases,
            QuarantineManager quarantine,
            Supplier<StoreEra> storeEra) {
        this.instance = instance;
        this.coordinator = coordinator;
        this.planner = planner;
        this.leases = leases;
        this.quarantine = quarantine;
        this.storeEra = storeEra;
    }

    /** Returns the present state. Must be called on the event loop. */
    JsonNode describe(boolean ready, boolean planning, Instant now) {
        ObjectNode node = Json.object();
        node.put("instance", instance.value());
        node.put("ready", ready);
        node.put("configuration", coordinator.table().map(t -> t.version().value()).orElse(-1L));
        node.put("storeEra", storeEra.get().value());
        ObjectNode accounts = node.putObject("accounts");
        coordinator.table().ifPresent(table -> describe(table.accounts(), accounts));
        node.put("pending", coordinator.pendingCount());
        node.put("waiting", coordinator.waitingCount());
        node.put("leases", leases.heldGroups().toString());
        node.put("planning", planning);
        node.put("ordersInProgress", planner.ordersInProgress());
        ArrayNode quarantined = node.putArray("quarantined");
        quarantine.quarantined().stream()
                .sorted()
                .forEach(trait -> quarantined.add(trait.toString()));
        node.put("suspectedTraits", quarantine.suspectedCount());
        ObjectNode fleet = node.putObject("servers");
        for (FleetServer server : coordinator.fleet().servers()) {
            describe(server, fleet.putObject(server.id().value()), now);
        }
        return node;
    }

    /** Describes accounts without anything that belongs to their keys. */
    private static void describe(AccountDirectory directory, ObjectNode node) {
        for (ClientAccount account : directory.accounts()) {
            ObjectNode described = node.putObject(account.name().value());
            described.put("keys", account.digests().size());
            account.priority().ifPresent(priority -> described.put("priority", priority));
        }
    }

    private static void describe(FleetServer server, ObjectNode node, Instant now) {
        node.put("service", server.service().value());
        node.put("state", server.listing().state().name());
        node.put("availability", server.availability(now).name());
        server.limitCause(now).ifPresent(cause -> node.put("limitCause", cause.name()));
        server.limitCause(now).ifPresent(cause -> node.put("limit", server.limitTotal(now)));
        node.put("inFlight", server.inFlight());
        node.put("load", server.load(now));
        node.put("statedPace", server.pace().stated(now));
        node.put("learntPace", server.pace().learnt(now));
        node.put("failureRate", server.failureRate(now));
        node.put("models", server.listing().models().toString());
    }
}
