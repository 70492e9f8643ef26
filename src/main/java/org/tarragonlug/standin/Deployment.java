package org.tarragonlug.standin;

import java.util.List;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerGroup;

/** The deployments of the two companies (docs/design.md, section 1.1). */
public enum Deployment {
    /** Cargas Seguras Andinas: lessons, practical assessments, incident reports, records. */
    CARGAS(
            List.of("lima-1", "lima-2", "lima-3"),
            "tutoring",
            "course-records",
            List.of(
                    new DeploymentPool("lessons", 35, 45),
                    new DeploymentPool("assessments", 18, 25),
                    new DeploymentPool("reports", 12, 10)),
            EngineFencing.CHECKED,
            // Most models are requested only during lessons, so idle time weighs more heavily
            // against cold starts.
            2) {
        @Override
        String routesJson(DeploymentTables tables) {
            return tables.routesTable(
                    tables.poolRoute(
                            "lessons", "/v1/chat/completions", "lessons", "INTERACTIVE", "20s"),
                    tables.poolRoute(
                            "assessments", "/v1/completions", "assessments", "NORMAL", "30s"),
                    tables.poolRoute("reports", "/v1/chat/completions", "reports", "BATCH", "60s"),
                    tables.serviceRoute("certificates", "/records/certificates", false),
                    tables.serviceRoute("progress", "/records/progress", true));
        }
    },
    /** Recuperaciones Solano Hermanos: landing estimates, crew briefings, flight summaries. */
    SOLANO(
            List.of("liberia", "nicoya", "canas"),
            "flight",
            "dispatch",
            List.of(
                    new DeploymentPool("landings", 40, 35),
                    new DeploymentPool("briefings", 18, 20),
                    new DeploymentPool("summaries", 12, 10)),
            EngineFencing.IGNORED,
            // A cold start is expensive: a late landing estimate sends a truck to the wrong place.
            10) {
        @Override
        String routesJson(DeploymentTables tables) {
            return tables.routesTable(
                    tables.poolRoute(
                            "landings", "/v1/completions", "landings", "INTERACTIVE", "20s"),
                    tables.poolRoute(
                            "briefings", "/v1/chat/completions", "briefings", "NORMAL", "30s"),
                    tables.poolRoute(
                            "summaries", "/v1/chat/completions", "summaries", "BATCH", "60s"),
                    tables.serviceRoute("trucks", "/dispatch/trucks", false),
                    tables.serviceRoute("dispatch-status", "/dispatch/status", true));
        }
    };

    private static final int ENGINES = 8;
    private static final int SERVICE_SERVERS = 3;
    private static final long SERVER_MEMORY_BYTES = 24L << 30;

    private final List<FailureDomain> failureDomains;
    private final ServerGroup engineGroup;
    private final ServerGroup serviceGroup;
    private final List<DeploymentPool> pools;
    private final EngineFencing fencing;
    private final double coldStartWeight;

    Deployment(
            List<String> failureDomains,
            String engineGroup,
            String serviceGroup,
            List<DeploymentPool> pools,
            EngineFencing fencing,
            double coldStartWeight) {
        this.failureDomains = failureDomains.stream().map(FailureDomain::new).toList();
        this.engineGroup = new ServerGroup(engineGroup);
        this.serviceGroup = new ServerGroup(serviceGroup);
        this.pools = pools;
        this.fencing = fencing;
        this.coldStartWeight = coldStartWeight;
    }

    abstract String routesJson(DeploymentTables tables);

    /** Returns the three failure domains; servers and entry instances are spread over them. */
    public List<FailureDomain> failureDomains() {
        return failureDomains;
    }

    /** Returns the server group of the model engines. */
    public ServerGroup engineGroup() {
        return engineGroup;
    }

    /** Returns the server group of the plain service. */
    public ServerGroup serviceGroup() {
        return serviceGroup;
    }

    /** Returns whether engines check the fencing tokens of orders. */
    public EngineFencing fencing() {
        return fencing;
    }

    /** Returns the number of engine servers. */
    public int engineCount() {
        return ENGINES;
    }

    /** Returns the number of servers of the plain service. */
    public int serviceCount() {
        return SERVICE_SERVERS;
    }

    /** Returns the accelerator memory of each engine server in bytes. */
    public long serverMemoryBytes() {
        return SERVER_MEMORY_BYTES;
    }

    /** Returns all models and adapters. */
    public List<ArtifactLimit> artifacts() {
        return pools.stream().flatMap(pool -> pool.artifacts().stream()).toList();
    }

    List<DeploymentPool> pools() {
        return pools;
    }

    double coldStartWeight() {
        return coldStartWeight;
    }

    /** Returns the routes table as JSON text: {@code {"formatVersion":1,"routes":[...]}}. */
    public String routesTable() {
        return routesJson(new DeploymentTables(this));
    }

    /** Returns the pools table as JSON text: {@code {"formatVersion":1,"pools":[...]}}. */
    public String poolsTable() {
        return new DeploymentTables(this).poolsTable();
    }
}
