package org.tarragonlug.standin;

import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.tarragonlug.decision.capacity.CacheTier;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.InstanceKind;
import org.tarragonlug.instancelist.ListedInstance;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.weightstore.Checkpoint;

/**
 * Stand-ins for all outside systems of one deployment, on loopback with ephemeral ports.
 *
 * <p>The stand-ins use the given I/O threads and two timer threads of their own. Network delays
 * between failure domains are not simulated.
 */
public final class StandInPlatform implements AutoCloseable {
    /** Each server caches every third artifact on its local disk, starting at its own index. */
    private static final int DISK_CACHE_STRIDE = 3;

    private final Deployment deployment;
    private final IoExecutor ioExecutor;
    private final StandInClock clock;
    private final EngineRecorder recorder = new EngineRecorder();
    private final ConcurrentHashMap<String, Integer> serviceRuns = new ConcurrentHashMap<>();
    private final ObjectApiStandIn objectApi;
    private final InstanceListStandIn instanceList;
    private final WeightStoreStandIn weightStore;
    private final List<EngineStandIn> engines = new CopyOnWriteArrayList<>();
    private final List<PlainServiceStandIn> services = new ArrayList<>();
    private int enginesStarted;

    /**
     * Starts all stand-ins and writes the two tables of the deployment to the object API, under
     * {@code tables/routes} and {@code tables/pools}.
     *
     * @param deployment the deployment to simulate
     * @param ioExecutor the shared I/O threads; {@link #close} does not close them
     * @param scale real seconds per nominal second of load and token times
     */
    public StandInPlatform(Deployment deployment, IoExecutor ioExecutor, double scale) {
        this.deployment = deployment;
        this.ioExecutor = ioExecutor;
        this.clock = new StandInClock(scale);
        this.objectApi = new ObjectApiStandIn(ioExecutor, clock);
        this.instanceList = new InstanceListStandIn(ioExecutor, clock);
        List<Checkpoint> checkpoints =
                deployment.artifacts().stream()
                        .map(limit -> new Checkpoint(limit.artifact(), limit.memoryBytes()))
                        .toList();
        this.weightStore = new WeightStoreStandIn(ioExecutor, clock, checkpoints);
        startEngines();
        startServices();
        putTable("routes", deployment.routesTable());
        putTable("pools", deployment.poolsTable());
    }

    private void putTable(String name, String table) {
        objectApi.put(new ObjectName("tables", name), JsonFields.parse(table));
    }

    private void startEngines() {
        for (int index = 0; index < deployment.engineCount(); index++) {
            startEngine(index);
        }
    }

    private EngineStandIn startEngine(int index) {
        List<ArtifactLimit> artifacts = deployment.artifacts();
        ServerId id = new ServerId(deployment.engineGroup() + "-" + (index + 1));
        EngineSettings settings =
                EngineSettings.defaults(id, deployment.serverMemoryBytes(), deployment.fencing());
        EngineStandIn engine =
                new EngineStandIn(settings, ioExecutor, clock, weightStore, recorder);
        for (int item = index; item < artifacts.size(); item += DISK_CACHE_STRIDE) {
            engine.setCacheTier(artifacts.get(item).artifact(), CacheTier.DISK);
        }
        engines.add(engine);
        enginesStarted++;
        listInstance(id, InstanceKind.ENGINE, deployment.engineGroup(), engine.address(), index);
        return engine;
    }

    /** Stops an engine without warning. Its entry stays in the instance list. */
    public void reclaim(EngineStandIn engine) {
        engines.remove(engine);
        engine.close();
    }

    /** Starts one more engine under a new id and adds it to the instance list. */
    public EngineStandIn addEngine() {
        return startEngine(enginesStarted);
    }

    private void startServices() {
        for (int index = 0; index < deployment.serviceCount(); index++) {
            ServerId id = new ServerId(deployment.serviceGroup() + "-" + (index + 1));
            PlainServiceStandIn service =
                    new PlainServiceStandIn(id, ioExecutor, clock, serviceRuns);
            services.add(service);
            listInstance(
                    id, InstanceKind.SERVICE, deployment.serviceGroup(), service.address(), index);
        }
    }

    private void listInstance(
            ServerId id,
            InstanceKind kind,
            ServerGroup group,
            InetSocketAddress address,
            int index) {
        List<FailureDomain> domains = deployment.failureDomains();
        FailureDomain domain = domains.get(index % domains.size());
        instanceList.put(new ListedInstance(id.value(), kind, group, address, domain, false));
    }

    public Deployment deployment() {
        return deployment;
    }

    public ObjectApiStandIn objectApi() {
        return objectApi;
    }

    /** Returns the instance list. Add entry instances with {@link InstanceListStandIn#put}. */
    public InstanceListStandIn instanceList() {
        return instanceList;
    }

    public WeightStoreStandIn weightStore() {
        return weightStore;
    }

    /** Returns the engines that have not been reclaimed, including crashed ones. */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /** Returns the servers of the plain service. */
    public List<PlainServiceStandIn> services() {
        return List.copyOf(services);
    }

    /** Returns the timer. Other parts of a test may share its threads. */
    public StandInClock clock() {
        return clock;
    }

    /** Returns the recorder of all engines, including reclaimed ones. */
    public EngineRecorder recorder() {
        return recorder;
    }

    /** Returns the number of runs of each idempotency key at all servers of the plain service. */
    public Map<String, Integer> serviceRuns() {
        return Map.copyOf(serviceRuns);
    }

    @Override
    public void close() {
        engines.forEach(EngineStandIn::close);
        services.forEach(PlainServiceStandIn::close);
        weightStore.close();
        instanceList.close();
        objectApi.close();
        clock.close();
    }
}
