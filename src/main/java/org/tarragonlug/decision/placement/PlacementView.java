package org.tarragonlug.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.id.ServiceName;

/**
 * The servers of one service as one round of planning sees them, indexed by model.
 *
 * <p>A round asks the same questions for each waiting model and each server, so what takes a walk
 * over a server's models is computed once a round. Whoever gives an order or reserves a server in
 * the round must {@linkplain #refresh refresh} that server.
 */
final class PlacementView {
    private final ModelCatalog catalog;
    private final List<PlannedServer> servers = new ArrayList<>();
    private final Map<String, List<PlannedServer>> serversByModel = new HashMap<>();
    private final Map<String, Set<PlannedServer>> preparingServers = new HashMap<>();
    private final Map<PlannedServer, Set<String>> modelsInPreparation = new IdentityHashMap<>();
    private final Map<PlannedServer, Double> usedMegabytes = new IdentityHashMap<>();

    PlacementView(ServiceName service, ModelCatalog catalog, OrderManager book) {
        this.catalog = catalog;
        for (PlannedServer server : book.servers()) {
            if (server.listing().service().equals(service) && server.ready()) {
                servers.add(server);
                index(server);
                refresh(server);
            }
        }
    }

    private void index(PlannedServer server) {
        for (String model : server.models().keySet()) {
            if (server.holds(model)) {
                serversByModel.computeIfAbsent(model, each -> new ArrayList<>()).add(server);
            }
        }
    }

    ModelCatalog catalog() {
        return catalog;
    }

    /** Returns the servers that take work. */
    List<PlannedServer> servers() {
        return servers;
    }

    /** Takes over what has changed at a server within this round. */
    void refresh(PlannedServer server) {
        usedMegabytes.remove(server);
        Set<String> before = modelsInPreparation.remove(server);
        if (before != null) {
            before.forEach(model -> preparingServers.get(model).remove(server));
        }
        Set<String> models = new HashSet<>();
        if (server.order != null && server.isLoading(server.order.key().model())) {
            models.add(server.order.key().model());
        }
        if (server.reservedFor != null) {
            models.add(server.reservedFor);
        }
        for (String model : models) {
            preparingServers.computeIfAbsent(model, each -> new HashSet<>()).add(server);
        }
        if (!models.isEmpty()) {
            modelsInPreparation.put(server, models);
        }
    }

    /** Returns the holders at the beginning of the round, less those that drop the model now. */
    List<PlannedServer> serversHolding(String model) {
        List<PlannedServer> all = serversByModel.getOrDefault(model, List.of());
        for (PlannedServer server : all) {
            if (!server.holds(model)) {
                return all.stream().filter(each -> each.holds(model)).toList();
            }
        }
        return all;
    }

    /** Tells whether a server loads a model or makes room for it. */
    boolean isInPreparation(String model) {
        return !serversPreparing(model).isEmpty();
    }

    /** Returns the servers that load a model or make room for it. */
    Set<PlannedServer> serversPreparing(String model) {
        return preparingServers.getOrDefault(model, Set.of());
    }

    /** Counts the replicas of a model with those under way. */
    int plannedReplicas(String model) {
        int count = serversHolding(model).size();
        for (PlannedServer server : serversPreparing(model)) {
            if (!server.holds(model)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the memory that is neither in use nor reserved at a server, megabytes. */
    double freeMegabytes(PlannedServer server) {
        return catalog.capacityMegabytes()
                - usedMegabytes.computeIfAbsent(server, each -> each.usedMegabytes(catalog));
    }

    boolean hasRoom(PlannedServer server, String model) {
        return weightsMegabytes(model) <= freeMegabytes(server);
    }

    /** Returns the size of a model, megabytes; 0 if the catalog does not list it. */
    double weightsMegabytes(String model) {
        return catalog.model(model).map(ModelSpecification::weightsMegabytes).orElse(0.0);
    }

    boolean hasAdapters(String model) {
        return catalog.model(model).filter(each -> each.adapters() > 0).isPresent();
    }
}
