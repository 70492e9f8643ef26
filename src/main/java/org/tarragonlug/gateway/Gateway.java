package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import org.tarragonlug.admin.AdminServer;
import org.tarragonlug.admin.AdminSource;
import org.tarragonlug.caller.ForwardingServer;
import org.tarragonlug.decision.forwarding.ForwardingCoordinator;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ForwardingLimits;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.ownership.LeaseEvent;
import org.tarragonlug.decision.ownership.OrderGroups;
import org.tarragonlug.decision.placement.PlacementPlanner;
import org.tarragonlug.decision.quarantine.QuarantineManager;
import org.tarragonlug.decision.watching.FollowedSource;
import org.tarragonlug.decision.watching.ServerStatements;
import org.tarragonlug.decision.watching.WatchCandidate;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpLimits;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.http.ServerStart;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.peer.PeerIdentity;
import org.tarragonlug.peer.PeerListener;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.peer.PeerThreads;
import org.tarragonlug.peer.PeerTransportSettings;
import org.tarragonlug.peer.TcpPeerTransport;
import org.tarragonlug.platform.PlatformEngineClient;
import org.tarragonlug.platform.PlatformPaths;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.Hash4jHasher;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.LoopTimerService;
import org.tarragonlug.runtime.TimerService;

/**
 * One gateway process. It accepts requests from callers and talks to backend servers, the
 * platform's store and the other gateways.
 *
 * <p>One event loop thread owns all state. The same thread does the I/O of all HTTP connections and
 * of the peer transport, so requests and messages are never handed over between threads.
 */
public final class Gateway implements AdminSource {
    private static final String DEPLOYMENT = "tarragonlug-gateway";

    /**
     * Period of the tick that always runs. Most of the time no request waits and this instance does
     * not plan, so a long period keeps the idle cost of the process low.
     */
    private static final Duration IDLE_TICK = Duration.ofMillis(100);

    /** How often the metric of the servers is brought up to date. */
    private static final Duration SERVER_COUNT_PERIOD = Duration.ofSeconds(1);

    /** Period of the forwarding tick while requests wait for a server. */
    private static final Duration WAITING_TICK = Duration.ofMillis(40);

    /** Period of the placement tick while this instance plans. */
    private static final Duration PLANNING_TICK = Duration.ofMillis(25);

    /** Length of the longest body of a request if the configuration does not limit it, in bytes. */
    private static final long DEFAULT_BODY_BYTES = 8L * 1024 * 1024;

    /** The first request for allowance has a random number of 31 bits, short in messages. */
    private static final long FIRST_NUMBER_MASK = 0x7fffffffL;

    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    /** Bytes of incomplete answers in memory; a buffer that grows takes three times its content. */
    private static final long MAX_HELD_BYTES = 8L * 1024 * 1024;

    private static final HttpLimits HTTP_LIMITS =
            new HttpLimits(
                    Duration.ofMillis(400),
                    Duration.ofSeconds(1),
                    MAX_ANSWER_BYTES,
                    MAX_HELD_BYTES,
                    Duration.ofMinutes(2));

    private final GatewaySettings settings;
    private final ProcessId processId;
    private final IoExecutor ioExecutor;
    private final ScheduledExecutorService loop;
    private final TimerService timers;
    private final EventLog log;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final CallNumbers callNumbers = new CallNumbers(new Random());
    private final HttpConnections connections;
    private final ForwardingCoordinator coordinator;
    private final PlacementPlanner planner;
    private final OrderLeases leases;
    private final FollowedSource followedSource;
    private final PeerExchange peers;
    private final ForwardingDriver forwarding;
    private final PlacementDriver placement;
    private final OrderExecutor executor;
    private final GatewayStore store;
    private final QuarantineManager quarantineManager = new QuarantineManager();
    private final QuarantineDriver quarantine;
    private final QuotaDriver quotas;
    private final GatewayState state;
    private final PauseDetector pauseDetector;
    private final ListedServers listedServers;
    private final StoreWatches watches;
    private final ForwardingServer callers;
    private final AdminServer admin;
    private HttpServerContext readiness;
    private TcpPeerTransport transport;
    private boolean waitingTickScheduled;
    private volatile boolean draining;
    private volatile boolean ready;

    /**
     * Creates a gateway without starting it.
     *
     * @param settings the validated settings; they do not change while the process runs
     */
    public Gateway(GatewaySettings settings) {
        this.settings = settings;
        this.ioExecutor = IoThreads.create(1);
        this.loop = IoThreads.timers(ioExecutor);
        this.log = new EventLog(settings.instance().value());
        this.timers = new LoopTimerService(loop, this::onPartFailed);
        this.quotas = createQuotas();
        ForwardingLog forwardingLog = new ForwardingLog(log, timers);
        this.connections =
                new HttpConnections(ioExecutor, loop, HTTP_LIMITS, forwardingLog::onLateAnswer);
        this.coordinator =
                new ForwardingCoordinator(
                        settings.instance().value(),
                        settings.failureDomain(),
                        new Hash4jHasher(),
                        forwardingLimits(settings),
                        quotas.borrower());
        this.planner = new PlacementPlanner(settings.loadWindow());
        ProcessId process = new ProcessId(UUID.randomUUID().toString());
        OrderGroups groups = new OrderGroups(new Hash4jHasher(), settings.orderGroups());
        this.leases = createLeases(process, groups);
        this.followedSource = new FollowedSource(settings.instance(), new Hash4jHasher());
        this.peers =
                new PeerExchange(
                        settings.instance(),
                        watchCandidate(settings),
                        leases,
                        followedSource,
                        quotas,
                        timers);
        PlatformEngineClient engines = new PlatformEngineClient(connections);
        this.quarantine = createQuarantine(engines);
        this.forwarding =
                new ForwardingDriver(
                        coordinator,
                        connections,
                        timers,
                        log,
                        forwardingLog,
                        peers.demandCollector(),
                        quarantine,
                        quotas,
                        new SlotReservationDriver(engines, metrics, loop),
                        metrics);
        this.executor = createExecutor(groups, engines);
        this.placement = new PlacementDriver(planner, executor, engines, loop, timers, log, peers);
        this.store = createStore();
        leases.start(store.api(), loop, log);
        this.listedServers = createListedServers();
        this.watches = createWatches();
        this.callers =
                new ForwardingServer(
                        settings.callerAddress(),
                        settings.callerConnections(),
                        ioExecutor,
                        forwarding,
                        this::bodyLimit);
        this.admin = new AdminServer(settings.adminAddress(), ioExecutor, this);
        this.state =
                new GatewayState(
                        settings.instance(),
                        coordinator,
                        planner,
                        leases,
                        quarantineManager,
                        store::era);
        this.pauseDetector = new PauseDetector(log, () -> leases.postAll(new LeaseEvent.Paused()));
        this.processId = process;
    }

    private GatewayStore createStore() {
        return new GatewayStore(
                connections, settings.storeAddress(), peers, loop, timers, log, callNumbers);
    }

    private ListedServers createListedServers() {
        return new ListedServers(
                coordinator.fleet(),
                forwarding,
                placement,
                quarantine,
                new ServerStatements(settings.watchLimits()),
                store::era,
                timers,
                log,
                this::updateReady);
    }

    private long bodyLimit() {
        return coordinator
                .table()
                .map(ForwardingTable::bodyLimit)
                .orElse(OptionalLong.empty())
                .orElse(DEFAULT_BODY_BYTES);
    }

    private QuotaDriver createQuotas() {
        return new QuotaDriver(
                settings.instance(),
                settings.quotaTolerance(),
                new Random().nextLong() & FIRST_NUMBER_MASK,
                timers,
                log,
                metrics);
    }

    private OrderLeases createLeases(ProcessId process, OrderGroups groups) {
        return new OrderLeases(
                settings.instance(),
                process.value(),
                text(settings.peerAddress()),
                settings.orderTurn(),
                settings.firstStart(),
                settings.capacity(),
                groups,
                timers);
    }

    private OrderExecutor createExecutor(OrderGroups groups, PlatformEngineClient engines) {
        return new OrderExecutor(
                leases.leaseManagers(),
                groups,
                coordinator.fleet(),
                engines,
                settings.instance(),
                peers,
                timers,
                loop,
                log,
                metrics,
                callNumbers);
    }

    private QuarantineDriver createQuarantine(PlatformEngineClient engines) {
        return new QuarantineDriver(
                quarantineManager, engines, coordinator.fleet(), loop, timers, log, metrics);
    }

    private static ForwardingLimits forwardingLimits(GatewaySettings settings) {
        return new ForwardingLimits(
                settings.retryWindow(),
                settings.retryRatio(),
                settings.retryAllowance(),
                settings.instances());
    }

    private static WatchCandidate watchCandidate(GatewaySettings settings) {
        return new WatchCandidate(
                settings.failureDomain(), text(settings.peerAddress()), settings.capacity());
    }

    private StoreWatches createWatches() {
        InstalledConfiguration configuration =
                new InstalledConfiguration(
                        coordinator, forwarding, placement, log, metrics, this::updateReady);
        forwarding.start(
                new ConfigurationReader(
                        store.api(), configuration, forwarding, loop, log, metrics));
        return new StoreWatches(
                store.api(),
                loop,
                timers,
                log,
                store::era,
                settings.watchLimits(),
                followedSource,
                () -> placement.isPlanning() || !ready,
                new StoreWatches.Listeners(listedServers, configuration, quarantine));
    }

    /**
     * Binds all listening addresses and starts watching the store.
     *
     * @throws TarragonlugException {@code ADDRESS_IN_USE} if an address cannot be bound
     */
    public void start() throws TarragonlugException {
        transport =
                new TcpPeerTransport(
                        PeerTransportSettings.of(
                                DEPLOYMENT,
                                settings.instance(),
                                processId,
                                settings.peerAddress(),
                                text(settings.peerAddress())),
                        new PeerMessages(),
                        new Random(),
                        PeerThreads.shared(IoThreads.eventLoops(ioExecutor)));
        readiness =
                ServerStart.await(
                        HttpServers.forAddress(settings.readinessAddress())
                                .ioExecutor(ioExecutor)
                                .executionStrategy(HttpExecutionStrategies.offloadNone())
                                .listen(
                                        (connection, request, factory) ->
                                                Single.succeeded(
                                                        isReady(request.path())
                                                                ? factory.ok()
                                                                : factory.serviceUnavailable())),
                        settings.readinessAddress());
        admin.start();
        callers.start();
        loop.execute(this::startOnLoop);
        log.event(LogEvent.INSTANCE_STARTED)
                .with("process", processId)
                .with("failure_domain", settings.failureDomain())
                .write();
    }

    private void startOnLoop() {
        peers.start(transport, forwarding, placement, executor, store.relay(), quarantine);
        quarantine.start(peers, forwarding, store.api(), store::era);
        quotas.start(peers, coordinator, forwarding, placement, leases);
        store.addListener(metrics::setStoreEra);
        store.addListener(leases::onStoreEra);
        store.addListener(era -> quarantine.onStoreEra());
        store.addListener(era -> watches.onStoreEra());
        watches.start();
        timers.schedulePeriodically(IDLE_TICK, now -> tick());
        timers.schedulePeriodically(SERVER_COUNT_PERIOD, this::countServers);
        leases.tick();
    }

    private void countServers(Instant now) {
        metrics.setServers(coordinator.fleet().countByAvailability(now));
        metrics.setLimitedServers(coordinator.fleet().countByLimitCause(now));
        metrics.setSlowServers(coordinator.fleet().slowCount(now));
    }

    private void tick() {
        pauseDetector.tick();
        leases.tick();
        if (!placement.isPlanning()) {
            placementTick();
        }
        quarantine.tick();
        forwarding.post(new ForwardingEvent.Tick());
        metrics.setWaitingRequests(coordinator.waitingCount());
        scheduleWaitingTick();
    }

    private void scheduleWaitingTick() {
        if (!waitingTickScheduled && coordinator.waitingCount() > 0) {
            waitingTickScheduled = true;
            timers.scheduleOnce(WAITING_TICK, now -> onWaitingTick());
        }
    }

    private void onWaitingTick() {
        waitingTickScheduled = false;
        forwarding.post(new ForwardingEvent.Tick());
        scheduleWaitingTick();
    }

    private void placementTick() {
        try {
            boolean planning = !draining && leases.shouldPlan();
            placement.tick(
                    planning, planning ? leases.orderableServers(listedServers.ids()) : Set.of());
            metrics.setLeaseHeld(!leases.heldGroups().isEmpty());
        } finally {
            // The next round is scheduled even if this one failed. Otherwise planning would stop
            // while this instance still counts as the planner.
            if (placement.isPlanning()) {
                timers.scheduleOnce(PLANNING_TICK, now -> placementTick());
            }
        }
    }

    private boolean isReady(String path) {
        return path.equals(PlatformPaths.READINESS) && ready();
    }

    @Override
    public boolean ready() {
        return ready && !draining;
    }

    private void updateReady() {
        ready = listedServers.isComplete() && coordinator.table().isPresent();
    }

    /**
     * Stops gracefully. The instance reports not ready at once ({@link GatewayDrain}). May be
     * called at any time, also before {@link #start} or while it runs.
     *
     * @return a stage that completes when no request is in progress and all answers have been sent,
     *     or the drain time is over; it never fails
     */
    public CompletionStage<Void> drain() {
        draining = true;
        return new GatewayDrain(
                        settings.drainTime(), callers, forwarding, leases, loop, timers, log)
                .start();
    }

    /** Closes all connections and servers immediately, for tests and after a failed start. */
    public void stop() {
        watches.stop();
        callers.stop();
        admin.stop();
        if (readiness != null) {
            readiness.closeAsync().subscribe();
        }
        if (transport != null) {
            transport.close();
        }
        connections.close();
        ioExecutor.closeAsync().subscribe();
    }

    /**
     * Logs that the settings file was read again.
     *
     * @param detail whether a restart would change the settings in force, or the faults in the file
     */
    public void onSettingsChanged(String detail) {
        log.event(LogEvent.SETTINGS_CHANGED).with("detail", detail).write();
    }

    private void onPartFailed(String part, Throwable failure) {
        log.event(LogEvent.PART_FAILED).with("part", part).withFailure(failure).write();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public byte[] metrics() {
        return metrics.toPrometheusText();
    }

    @Override
    public boolean alive() {
        return true;
    }

    @Override
    public CompletionStage<JsonNode> state() {
        CompletableFuture<JsonNode> result = new CompletableFuture<>();
        loop.execute(
                () ->
                        result.complete(
                                state.describe(ready(), placement.isPlanning(), timers.now())));
        return result;
    }

    @Override
    public CompletionStage<JsonNode> status() {
        return state();
    }

    /**
     * Queues messages from peers on the event loop. The transport calls on the same thread, and a
     * queued message is handled after the events that are already waiting.
     */
    private final class PeerMessages implements PeerListener {
        @Override
        public void onMessage(PeerIdentity from, PeerMessage message) {
            loop.execute(() -> peers.onMessage(from.instance(), message));
        }

        @Override
        public void onConnectionRejected(String remoteAddress, TarragonlugException reason) {
            log.event(LogEvent.PEER_FRAME_INVALID)
                    .with("address", remoteAddress)
                    .with("reason", reason.getMessage())
                    .write();
        }
    }
}
