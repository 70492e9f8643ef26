package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.tarragonlug.decision.capacity.CapacityRefusal;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.ConfigurationStatus;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.TableFault;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.runtime.Json;

/** Puts together what operators see: both tables with what the system reports on each row. */
final class StatusReport {
    private final InstanceContext context;
    private final ConfigurationDriver configuration;
    private final CapacityDrivers capacity;

    StatusReport(
            InstanceContext context, ConfigurationDriver configuration, CapacityDrivers capacity) {
        this.context = context;
        this.configuration = configuration;
        this.capacity = capacity;
    }

    ObjectNode create() {
        Configuration current = configuration.current();
        ObjectNode status = Json.object();
        status.put("instance", context.instance().value());
        status.put("version", current.version().value());
        ArrayNode faults = status.putArray("faults");
        configuration.lastStatus().map(ConfigurationStatus::faults).stream()
                .flatMap(List::stream)
                .forEach(fault -> addFault(faults, fault));
        ArrayNode routes = status.putArray("routes");
        current.routes().forEach(route -> addRoute(routes, current, route));
        ArrayNode pools = status.putArray("pools");
        current.pools().forEach(pool -> addPool(pools, pool));
        return status;
    }

    private static void addFault(ArrayNode faults, TableFault fault) {
        faults.addObject()
                .put("path", fault.path())
                .put("found", fault.found())
                .put("remedy", fault.remedy());
    }

    private static void addRoute(ArrayNode routes, Configuration current, Route route) {
        ObjectNode node = routes.addObject();
        node.put("name", route.name().value());
        node.put("pathPrefix", route.pathPrefix());
        node.put("target", route.target().name());
        route.pool().ifPresent(pool -> node.put("pool", pool.value()));
        route.service().ifPresent(service -> node.put("service", service.value()));
        boolean resolved = route.pool().map(name -> current.pool(name).isPresent()).orElse(true);
        node.put("state", resolved ? "IN_FORCE" : "POOL_MISSING");
    }

    private void addPool(ArrayNode pools, Pool pool) {
        ObjectNode node = pools.addObject();
        node.put("name", pool.name().value());
        node.put("group", pool.group().value());
        CapacityDriver driver = capacity.drivers().get(pool.group());
        boolean decides = driver != null && driver.isDecider();
        node.put("decidedHere", decides);
        if (decides) {
            addArtifacts(node.putArray("artifacts"), pool, driver);
        }
    }

    private static void addArtifacts(ArrayNode artifacts, Pool pool, CapacityDriver driver) {
        Map<ArtifactId, ReplicaAnnouncer.ArtifactState> known = driver.announcer().artifactStates();
        for (ArtifactLimit limit : pool.artifacts()) {
            ObjectNode node = artifacts.addObject();
            node.put("artifact", limit.artifact().toString());
            node.put("maximumReplicas", limit.maximumReplicas());
            ReplicaAnnouncer.ArtifactState state = known.get(limit.artifact());
            node.put("ready", state == null ? 0 : state.ready().size());
            node.put("loading", state == null ? 0 : state.loadingReplicas());
            node.put("waiting", driver.announcer().waiting(limit.artifact()));
            if (state != null && state.refusal().isPresent()) {
                CapacityRefusal refusal = state.refusal().get();
                node.put("lastRefusal", refusal.name());
                node.put("meaning", refusal.text());
                node.put("remedy", refusal.remedy());
            }
        }
    }

    /** Returns the status of the artifacts of a group, for the object API. */
    ObjectNode groupStatus(ServerGroup group) {
        ObjectNode status = Json.object();
        status.put("formatVersion", 1);
        status.put("decider", context.process().value());
        ArrayNode pools = status.putArray("pools");
        configuration.current().pools().stream()
                .filter(pool -> pool.group().equals(group))
                .forEach(pool -> addPool(pools, pool));
        return status;
    }
}
