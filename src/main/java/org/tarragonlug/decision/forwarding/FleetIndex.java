package org.tarragonlug.decision.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/**
 * The backend servers by service, and by the models that they may hold.
 *
 * <p>A server is indexed under each model of its newest listing and under each model that a notice
 * announced. {@link FleetServer#holds} is true for no other model, so a search among the indexed
 * servers finds the same servers as a search among all. An announcement that has expired stays in
 * the index until the server's next listing; callers therefore ask each server that they find.
 */
final class FleetIndex {
    /** The servers of one service. */
    private static final class ServiceServers {
        private final List<FleetServer> all = new ArrayList<>();
        private final Map<String, List<FleetServer>> byModel = new HashMap<>();
    }

    /** Under which keys a server is indexed. */
    private static final class Entry {
        private final ServiceName service;
        private final Set<String> models = new HashSet<>();

        Entry(ServiceName service) {
            this.service = service;
        }
    }

    private final Map<ServiceName, ServiceServers> services = new HashMap<>();
    private final Map<FleetServer, Entry> entries = new HashMap<>();

    /** Adds a server, or follows a change of its listing. */
    void update(FleetServer server) {
        Entry entry = entries.get(server);
        if (entry != null && !entry.service.equals(server.service())) {
            remove(server);
            entry = null;
        }
        if (entry == null) {
            entry = new Entry(server.service());
            entries.put(server, entry);
            services.computeIfAbsent(entry.service, each -> new ServiceServers()).all.add(server);
        }
        Map<String, List<FleetServer>> byModel = services.get(entry.service).byModel;
        Set<String> models = server.possibleModels();
        for (String model : models) {
            if (entry.models.add(model)) {
                addTo(byModel, model, server);
            }
        }
        if (entry.models.size() > models.size()) {
            entry.models.removeIf(
                    model -> !models.contains(model) && removeFrom(byModel, model, server));
        }
    }

    /** Adds a model that was announced of an indexed server. */
    void addModel(FleetServer server, String model) {
        Entry entry = entries.get(server);
        if (entry.models.add(model)) {
            addTo(services.get(entry.service).byModel, model, server);
        }
    }

    /** Removes a server; does nothing if it is not in the index. */
    void remove(FleetServer server) {
        Entry entry = entries.remove(server);
        if (entry == null) {
            return;
        }
        ServiceServers servers = services.get(entry.service);
        servers.all.remove(server);
        entry.models.forEach(model -> removeFrom(servers.byModel, model, server));
        if (servers.all.isEmpty()) {
            services.remove(entry.service);
        }
    }

    /**
     * Returns the servers of a service; if a model is given, only those that may hold it. The list
     * is valid until the next change of the index.
     */
    List<FleetServer> candidates(ServiceName service, Optional<ModelKey> model) {
        ServiceServers servers = services.get(service);
        if (servers == null) {
            return List.of();
        }
        return model.isEmpty()
                ? servers.all
                : servers.byModel.getOrDefault(model.get().model(), List.of());
    }

    private static void addTo(
            Map<String, List<FleetServer>> byModel, String model, FleetServer server) {
        byModel.computeIfAbsent(model, each -> new ArrayList<>(2)).add(server);
    }

    private static boolean removeFrom(
            Map<String, List<FleetServer>> byModel, String model, FleetServer server) {
        List<FleetServer> servers = byModel.get(model);
        servers.remove(server);
        if (servers.isEmpty()) {
            byModel.remove(model);
        }
        return true;
    }
}
