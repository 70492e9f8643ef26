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
 * The ready servers of one service during one planning round, indexed by model.
 *
 * <p>A planning round asks the same questions for each waiting model and each server. Values that
 * require a scan of a server's models are therefore computed once per round. Code that gives an
 * order to a server or reserves a server during the round must call {@link #refresh} for it.
 */
final class PlacementView {
    private final ModelCatalog catalog;
    private final OrderManager orders;
    private final List<PlannedServer> servers = new ArrayList<>();
    private final Map<String, List<PlannedServer>> serversByModel = new HashMap<>();
    private final Map<String, Set<PlannedServer>> preparingServers = new HashMap<>();
    private final Map<PlannedServer, Set<String>> modelsInPreparation = new IdentityHashMap<>();
    private final Map<PlannedServer, Double> usedMegabytes = new IdentityHashMap<>();
    private final List<String> changedModels = new ArrayList<>();
    private int changes;
    private int remoteLoads;
    private int remoteLoadsCountedAt = -1;

    PlacementView(ServiceName service, ModelCatalog catalog, OrderManager orders) {
        this.catalog = catalog;
        this.orders = orders;
        for (PlannedServer server : orders.servers()) {
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

    /** Returns the servers that were ready at the start of the round. */
    List<PlannedServer> servers() {
        return servers;
    }

    /** Updates the index after a change to a server within this round. */
    void refresh(PlannedServer server) {
        changes++;
        usedMegabytes.remove(server);
        Set<String> before = modelsInPreparation.remove(server);
        if (before != null) {
            before.forEach(model -> preparingServers.get(model).remove(server));
            changedModels.addAll(before);
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
            changedModels.addAll(models);
        }
        if (server.order != null) {
            changedModels.add(server.order.key().model());
        }
    }

    /**
     * Returns the number of changes in this round so far. What was computed from the state of
     * several servers is valid as long as the number stays the same.
     */
    int changes() {
        return changes;
    }

    /**
     * Returns the models whose replicas, including those in preparation, may have changed in this
     * round, in the order of the changes. What was computed from the replicas of other models stays
     * valid.
     */
    List<String> changedModels() {
        return changedModels;
    }

    /** Returns the number of loads from the weight store that are in progress. */
    int remoteLoads() {
        if (remoteLoadsCountedAt != changes) {
            remoteLoads = orders.remoteLoads();
            remoteLoadsCountedAt = changes;
        }
        return remoteLoads;
    }

    /**
     * Returns the servers that held a model at the start of the round, without those that have been
     * ordered to unload the model since.
     */
    List<PlannedServer> serversHolding(String model) {
        List<PlannedServer> all = serversByModel.getOrDefault(model, List.of());
        for (PlannedServer server : all) {
            if (!server.holds(model)) {
                return all.stream().filter(each -> each.holds(model)).toList();
            }
        }
        return all;
    }

    /** Tells whether any server is loading a model or making room for it. */
    boolean isInPreparation(String model) {
        return !serversPreparing(model).isEmpty();
    }

    /** Returns the servers that are loading a model or making room for it. */
    Set<PlannedServer> serversPreparing(String model) {
        return preparingServers.getOrDefault(model, Set.of());
    }

    /** Counts the replicas of a model, including those in preparation. */
    int plannedReplicas(String model) {
        int count = serversHolding(model).size();
        for (PlannedServer server : serversPreparing(model)) {
            if (!server.holds(model)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the memory of a server that is neither used nor reserved, in megabytes. */
    double freeMegabytes(PlannedServer server) {
        return catalog.capacityMegabytes()
                - usedMegabytes.computeIfAbsent(server, each -> each.usedMegabytes(catalog));
    }

    boolean hasRoom(PlannedServer server, String model) {
        return weightsMegabytes(model) <= freeMegabytes(server);
    }

    /** Returns the size of a model in megabytes; 0 if the catalog does not list the model. */
    double weightsMegabytes(String model) {
        return catalog.model(model).map(ModelSpecification::weightsMegabytes).orElse(0.0);
    }

    boolean hasAdapters(String model) {
        return catalog.model(model).filter(each -> each.adapters() > 0).isPresent();
    }
}
