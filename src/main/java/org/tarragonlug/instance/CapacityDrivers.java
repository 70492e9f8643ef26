package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.tarragonlug.decision.capacity.CapacitySettings;
import org.tarragonlug.decision.capacity.DefaultCapacityPlanner;
import org.tarragonlug.decision.capacity.DefaultKeepWarmPolicy;
import org.tarragonlug.decision.capacity.DefaultPlacement;
import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.decision.capacity.LoadTimes;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.decision.membership.Ownership;
import org.tarragonlug.engine.EngineClient;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.InstanceKind;
import org.tarragonlug.instancelist.ListedInstance;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.plainservice.ServiceReport;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.StateSource;

/** Manages the capacity drivers of all server groups named in the configuration. */
final class CapacityDrivers
        implements InstanceListListener, ReportListener, DemandListener, StateSource {
    /** Number of concurrent adapter loads on all servers that the weight store can sustain. */
    private static final int MAXIMUM_ADAPTER_LOADS = 30;

    private static final int REQUESTS_PER_REPLICA = 8;

    /**
     * Weight of lost benefit when servers are compared: the load time, in seconds, that is
     * equivalent to one unit of expected benefit per second lost by unloading artifacts.
     */
    private static final double SECONDS_PER_LOST_BENEFIT = 1;

    private final InstanceContext context;
    private final MonitoredObjectApi objectApi;
    private final EngineClient engines;
    private final ServerDirectory directory;
    private final ReportPoller poller;
    private final TicketDriver tickets;
    private final PeerMessageDispatcher peers;
    private final Map<ServerGroup, CapacityDriver> drivers = new TreeMap<>();
    private final Map<ServerId, ServerGroup> groupByServer = new HashMap<>();
    private final Map<ServerGroup, Long> largestServerMemory = new HashMap<>();
    private final Map<ServerGroup, List<Demand>> unsentDemands = new TreeMap<>();
    private Configuration configuration = Configuration.EMPTY;
    private Ownership ownership;
    private List<ListedInstance> instances = List.of();
    private Set<ProcessId> endedProcesses = Set.of();

    CapacityDrivers(
            InstanceContext context,
            MonitoredObjectApi objectApi,
            EngineClient engines,
            ServerDirectory directory,
            ReportPoller poller,
            TicketDriver tickets,
            PeerMessageDispatcher peers,
            Ownership ownership) {
        this.context = context;
        this.objectApi = objectApi;
        this.engines = engines;
        this.directory = directory;
        this.poller = poller;
        this.tickets = tickets;
        this.peers = peers;
        this.ownership = ownership;
        peers.setHandler(PeerMessage.DemandReport.class, this::onDemandReport);
    }

    void configure(Configuration changed) {
        configuration = changed;
        for (Pool pool : changed.pools()) {
            drivers.computeIfAbsent(pool.group(), this::create);
        }
        drivers.values().forEach(driver -> driver.configure(changed));
    }

    private CapacityDriver create(ServerGroup group) {
        int groups = (int) configuration.pools().stream().map(Pool::group).distinct().count();
        CapacitySettings settings =
                new CapacitySettings(
                        group,
                        context.process(),
                        Math.max(1, MAXIMUM_ADAPTER_LOADS / groups),
                        REQUESTS_PER_REPLICA);
        LoadTimes loadTimes = new LoadTimes();
        DefaultKeepWarmPolicy keepWarm =
                new DefaultKeepWarmPolicy(artifact -> memoryShare(group, artifact));
        HistoryStore history = new HistoryStore(context, objectApi, group, keepWarm);
        DefaultCapacityPlanner planner =
                new DefaultCapacityPlanner(
                        settings,
                        loadTimes,
                        new DefaultPlacement(loadTimes, SECONDS_PER_LOST_BENEFIT),
                        keepWarm,
                        context.random(),
                        context.invariants());
        CapacityDriver driver =
                new CapacityDriver(
                        context,
                        planner,
                        loadTimes,
                        objectApi,
                        engines,
                        directory,
                        tickets,
                        new ReplicaAnnouncer(context, peers, group),
                        history);
        driver.start();
        driver.onProcessesEnded(endedProcesses);
        driver.onInstanceListChanged(instances);
        updateRole(driver);
        return driver;
    }

    /**
     * Returns the fraction of a server's memory that an artifact occupies. Until the memory of a
     * server of the group is known, and for an artifact that is in no pool, returns 1.
     */
    private double memoryShare(ServerGroup group, ArtifactId artifact) {
        Long serverBytes = largestServerMemory.get(group);
        if (serverBytes == null) {
            return 1;
        }
        return configuration.pools().stream()
                .filter(pool -> pool.group().equals(group))
                .flatMap(pool -> pool.artifacts().stream())
                .filter(limit -> limit.artifact().equals(artifact))
                .mapToDouble(limit -> (double) limit.memoryBytes() / serverBytes)
                .findFirst()
                .orElse(1);
    }

    void onOwnershipChanged(Ownership changed) {
        ownership = changed;
        drivers.values().forEach(this::updateRole);
    }

    private void updateRole(CapacityDriver driver) {
        boolean decides = ownership.isOwner(CapacityDriver.ownershipKey(driver.group()));
        driver.setDeciding(decides);
        poller.setDeciding(driver.group(), decides);
    }

    /** Saves the arrival histories for the next deciders before this process stops. */
    void saveHistories() {
        drivers.values().forEach(CapacityDriver::saveHistory);
    }

    /** Returns whether this instance is the decider of any group. */
    boolean isDecider() {
        return drivers.values().stream().anyMatch(CapacityDriver::isDecider);
    }

    void onObjectApiStateChanged(boolean up) {
        drivers.values().forEach(driver -> driver.onObjectApiStateChanged(up));
    }

    void onProcessesEnded(Set<ProcessId> processes) {
        endedProcesses = processes;
        drivers.values().forEach(driver -> driver.onProcessesEnded(processes));
    }

    @Override
    public void onInstanceListChanged(
            List<ListedInstance> listed,
            Set<InstanceId> removedInstances,
            Set<ServerId> removedServers) {
        instances = listed;
        groupByServer.clear();
        for (ListedInstance instance : listed) {
            if (instance.kind() == InstanceKind.ENGINE) {
                groupByServer.put(new ServerId(instance.id()), instance.group());
            }
        }
        drivers.values().forEach(driver -> driver.onInstanceListChanged(listed));
    }

    @Override
    public void onEngineReport(ServerReport report, Instant askedAt) {
        ServerGroup group = groupByServer.get(report.server());
        if (group != null) {
            largestServerMemory.merge(group, report.memoryBytes(), Math::max);
        }
        driver(report.server()).ifPresent(driver -> driver.onReport(report, askedAt));
    }

    private Optional<CapacityDriver> driver(ServerId server) {
        return Optional.ofNullable(groupByServer.get(server)).map(drivers::get);
    }

    @Override
    public void onServiceReport(ServiceReport report, Instant askedAt) {
        // Plain services have no artifacts.
    }

    @Override
    public void onUnreachable(ServerId server, boolean connectionRefused) {
        // The planner uses the age of the last report instead.
    }

    @Override
    public void onDemand(PoolName pool, Demand demand) {
        Optional<ServerGroup> group = configuration.pool(pool).map(Pool::group);
        if (group.isEmpty()) {
            return;
        }
        if (unsentDemands.isEmpty()) {
            context.loop().post(this::sendDemands);
        }
        unsentDemands.computeIfAbsent(group.get(), unused -> new ArrayList<>()).add(demand);
    }

    /** Sends the demands collected during one task of the event loop, one message per group. */
    private void sendDemands() {
        unsentDemands.forEach(
                (group, demands) -> {
                    PeerMessage message =
                            new PeerMessage.DemandReport(
                                    PeerMessage.FORMAT_VERSION, group, demands);
                    ownership
                            .owner(CapacityDriver.ownershipKey(group))
                            .ifPresent(owner -> peers.send(owner, message));
                });
        unsentDemands.clear();
    }

    private void onDemandReport(InstanceId from, PeerMessage.DemandReport report) {
        CapacityDriver driver = drivers.get(report.group());
        if (driver != null) {
            report.demands().forEach(demand -> driver.onDemand(from, demand));
        }
    }

    Map<ServerGroup, CapacityDriver> drivers() {
        return drivers;
    }

    /** Returns the memory, in bytes, of the largest server that has reported in each group. */
    Map<ServerGroup, Long> largestServerMemory() {
        return Map.copyOf(largestServerMemory);
    }

    @Override
    public String stateName() {
        return "capacity";
    }

    @Override
    public JsonNode state() {
        ObjectNode state = Json.object();
        Set<ServerGroup> groups = new HashSet<>(drivers.keySet());
        groups.forEach(group -> state.set(group.value(), drivers.get(group).state()));
        return state;
    }
}
