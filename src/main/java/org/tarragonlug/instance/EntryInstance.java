package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.tarragonlug.admin.AdminServer;
import org.tarragonlug.admin.AdminSource;
import org.tarragonlug.caller.CallerServer;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.ConfigurationAcceptor;
import org.tarragonlug.decision.configuration.ConfigurationSynchronizer;
import org.tarragonlug.decision.membership.Candidate;
import org.tarragonlug.decision.membership.DetectorSettings;
import org.tarragonlug.decision.membership.Ownership;
import org.tarragonlug.decision.membership.RandomProbeDetector;
import org.tarragonlug.decision.request.DefaultRequestCoordinator;
import org.tarragonlug.decision.request.RequestSettings;
import org.tarragonlug.engine.HttpEngineClient;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpLimits;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.HttpInstanceList;
import org.tarragonlug.objectapi.HttpObjectApi;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.peer.PeerThreads;
import org.tarragonlug.peer.PeerTransportSettings;
import org.tarragonlug.peer.TcpPeerTransport;
import org.tarragonlug.plainservice.HttpPlainServiceClient;
import org.tarragonlug.plainservice.ServiceReport;
import org.tarragonlug.runtime.DefaultEventLoop;
import org.tarragonlug.runtime.DefaultSupervisor;
import org.tarragonlug.runtime.DefaultTimerService;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.EventLoop;
import org.tarragonlug.runtime.FailureListener;
import org.tarragonlug.runtime.Hash4jHasher;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.Metrics;
import org.tarragonlug.runtime.Settings;
import org.tarragonlug.runtime.StateSource;
import org.tarragonlug.runtime.SupervisedPart;
import org.tarragonlug.runtime.Supervisor;
import org.tarragonlug.runtime.TimerService;

/**
 * An entry instance: creates all parts from the settings, connects them, and starts and stops them.
 *
 * <p>The supervisor starts the peer transport, the drivers, the server for callers and the admin
 * server, in this order. A server that fails is restarted. An exception on the event loop or the
 * timer thread is logged, and the thread continues. After five failures within a minute the
 * supervisor stops all parts and the failure listener is called.
 */
public final class EntryInstance implements AdminSource, SupervisedPart {
    private static final Duration ORDER_TIMEOUT = Duration.ofMinutes(5);

    /**
     * Time without data after which the engine client ends a stream. The request coordinator
     * detects silent streams much earlier; this limit applies only if that detection fails.
     */
    private static final Duration MAXIMUM_SILENCE = Duration.ofSeconds(30);

    /** Time for which the load balancer may still send requests after readiness has ended. */
    private static final Duration BALANCER_DETECTION_TIME = Duration.ofSeconds(3);

    private static final Duration CONFIGURATION_REQUEST_PERIOD = Duration.ofSeconds(1);
    private static final Duration METRICS_PERIOD = Duration.ofSeconds(1);
    private static final Duration STATUS_PERIOD = Duration.ofSeconds(2);

    private final Settings settings;
    private final TimerService timers;
    private final EventLoop loop;
    private final EventLog log;
    private final Metrics metrics = new Metrics();
    private final MetricsUpdater metricsUpdater = new MetricsUpdater(metrics);
    private final InvariantReporter invariantReporter;
    private final ScheduledExecutorService callTimers;
    private final HttpConnections connections;
    private final Supervisor supervisor;
    private final InstanceContext context;
    private final MonitoredObjectApi objectApi;
    private final PeerMessageDispatcher peers;
    private final ServerDirectory directory;
    private final ReportPoller poller;
    private final MembershipDriver membership;
    private final ConfigurationDriver configuration;
    private final CapacityDrivers capacity;
    private final TicketDriver tickets;
    private final RequestDriver requests;
    private final StatusReport status;
    private final StatusWriter statusWriter;
    private final CallerServer callerServer;
    private final AdminServer adminServer;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private TcpPeerTransport transport;
    private volatile boolean configured;
    private volatile boolean draining;
    private volatile boolean failed;

    /**
     * Creates an instance without starting it.
     *
     * @param settings validated settings
     * @param ioExecutor executor of the connections to callers, backend servers and the platform
     * @param adminExecutor separate executor of the admin connections, which therefore work under
     *     overload too
     * @param seed seed of all random decisions of this process
     * @param failureListener called when the supervisor has given up restarting and has stopped all
     *     parts
     */
    public EntryInstance(
            Settings settings,
            IoExecutor ioExecutor,
            IoExecutor adminExecutor,
            long seed,
            FailureListener failureListener) {
        this.settings = settings;
        this.log = new EventLog(settings.instance().value());
        FailureListener partFailureListener = (part, failure) -> onPartFailed(part, failure);
        String name = settings.instance().value();
        this.timers =
                new DefaultTimerService(
                        task -> daemonThread(task, name + "-timer"), partFailureListener);
        this.loop =
                new DefaultEventLoop(
                        task -> daemonThread(task, name + "-loop"), partFailureListener);
        this.supervisor =
                new DefaultSupervisor(
                        "instance",
                        timers,
                        log,
                        (part, failure) -> {
                            failed = true;
                            failureListener.onPartFailed(part, failure);
                        });
        this.callTimers =
                Executors.newSingleThreadScheduledExecutor(
                        task -> daemonThread(task, name + "-call-timer"));
        this.connections = new HttpConnections(ioExecutor, callTimers, HttpLimits.DEFAULT);
        this.invariantReporter = new InvariantReporter(metrics, log);
        this.context = createContext(seed);
        this.objectApi =
                new MonitoredObjectApi(
                        new HttpObjectApi(connections, settings.objectApi()), context);
        this.peers = new PeerMessageDispatcher(context);
        this.directory =
                new ServerDirectory(
                        context, new HttpInstanceList(connections, settings.instanceList()));
        HttpEngineClient engines =
                new HttpEngineClient(connections, ORDER_TIMEOUT, MAXIMUM_SILENCE, timers::now);
        HttpPlainServiceClient services = new HttpPlainServiceClient(connections);
        this.poller = new ReportPoller(context, directory, engines, services);
        this.membership = createMembership();
        this.tickets = new TicketDriver(context, peers);
        this.configuration = createConfiguration();
        this.capacity =
                new CapacityDrivers(
                        context,
                        objectApi,
                        engines,
                        directory,
                        poller,
                        tickets,
                        peers,
                        membership.ownership());
        this.requests =
                new RequestDriver(
                        context,
                        createCoordinator(),
                        directory,
                        poller,
                        engines,
                        services,
                        objectApi,
                        peers,
                        capacity,
                        () -> drained.complete(null));
        this.status = new StatusReport(context, configuration, capacity);
        this.statusWriter = new StatusWriter(context, objectApi, status, capacity);
        this.callerServer =
                new CallerServer(
                        settings.callerAddress(),
                        settings.limits(),
                        ioExecutor,
                        requests,
                        context.process().value());
        this.adminServer = new AdminServer(settings.adminAddress(), adminExecutor, this);
        connectParts();
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    private void onPartFailed(String part, Throwable failure) {
        supervisor.onPartFailed(part, failure);
    }

    private InstanceContext createContext(long seed) {
        ProcessId process = new ProcessId(settings.instance() + "-" + timers.now().toEpochMilli());
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        return new InstanceContext(
                settings,
                process,
                timers,
                loop,
                log,
                metrics,
                new Hash4jHasher(),
                random,
                invariantReporter);
    }

    private MembershipDriver createMembership() {
        Candidate self =
                new Candidate(
                        settings.instance(),
                        ServerDirectory.addressText(settings.peerAddress()),
                        settings.failureDomain());
        return new MembershipDriver(
                context,
                peers,
                new RandomProbeDetector(
                        self,
                        context.process(),
                        timers.now().toEpochMilli(),
                        DetectorSettings.DEFAULT,
                        context.hasher(),
                        context.random()));
    }

    private ConfigurationDriver createConfiguration() {
        Supplier<OperationId> operations =
                new Supplier<>() {
                    private long count;

                    @Override
                    public OperationId get() {
                        count++;
                        return new OperationId(context.process() + "-c" + count);
                    }
                };
        return new ConfigurationDriver(
                context,
                objectApi,
                peers,
                new ConfigurationSynchronizer(context.hasher(), context.invariants()),
                new ConfigurationAcceptor(context.process(), operations));
    }

    private DefaultRequestCoordinator createCoordinator() {
        Hasher hasher = context.hasher();
        return new DefaultRequestCoordinator(
                context.process(),
                settings.failureDomain(),
                RequestSettings.DEFAULT,
                hasher,
                (route, key) -> new ClaimKey(Sha256.of(route + "\n" + key)),
                context.random(),
                context.invariants());
    }

    private void connectParts() {
        directory.addListener(membership);
        directory.addListener(requests);
        directory.addListener(capacity);
        directory.addListener(poller);
        poller.addListener(requests.reportListener());
        poller.addListener(capacity);
        poller.addListener(new MemoryListener());
        peers.addEndedProcessListener(capacity::onProcessesEnded);
        objectApi.addListener(capacity::onObjectApiStateChanged);
        membership.addListener(this::onOwnershipChanged);
        membership.setVersionListener(configuration);
        configuration.addListener(this::install);
        supervisor.add(new PeerPart());
        supervisor.add(new DriversPart());
        supervisor.add(callerServer);
        supervisor.add(adminServer);
    }

    private void onOwnershipChanged(Ownership ownership) {
        tickets.onViewChanged(membership.liveInstances());
        configuration.onOwnershipChanged(ownership);
        capacity.onOwnershipChanged(ownership);
        updateDeciding(ownership);
    }

    private void updateDeciding(Ownership ownership) {
        boolean acceptsTables = ownership.isOwner(ConfigurationDriver.OWNERSHIP_KEY);
        objectApi.setDeciding(acceptsTables || capacity.isDecider());
    }

    private void install(Configuration installed) {
        membership.onConfigurationInstalled(installed.version());
        capacity.configure(installed);
        updateDeciding(membership.ownership());
        requests.configure(installed);
        configured = true;
    }

    @Override
    public String name() {
        return settings.instance().value();
    }

    @Override
    public void start() throws TarragonlugException {
        supervisor.start();
        log.event(LogEvent.INSTANCE_STARTED)
                .with("process", context.process())
                .with("failure_domain", settings.failureDomain())
                .with("callers", ServerDirectory.addressText(callerServer.listenAddress()))
                .with("admin", ServerDirectory.addressText(adminServer.listenAddress()))
                .with("peers", ServerDirectory.addressText(settings.peerAddress()))
                .write();
    }

    /** Returns the address that the server for callers listens on. */
    public InetSocketAddress callerAddress() {
        return callerServer.listenAddress();
    }

    /** Returns the address of the admin server, which serves metrics, health, status and state. */
    public InetSocketAddress adminAddress() {
        return adminServer.listenAddress();
    }

    /** Returns the number of violated invariants since the start. */
    public long violations() {
        return invariantReporter.count();
    }

    /**
     * Stops gracefully. Readiness ends first; requests are accepted until the load balancer has
     * detected this. Then the requests in progress are completed. Both phases together take at most
     * the drain time of the settings.
     *
     * @return a stage that completes when no request is in progress
     */
    public CompletionStage<Void> drain() {
        if (draining) {
            return drained;
        }
        draining = true;
        log.event(LogEvent.DRAIN_STARTED).with("in_progress", callerServer.inProgress()).write();
        Duration limit = settings.limits().drainTime();
        Duration detectionTime =
                BALANCER_DETECTION_TIME.compareTo(limit) < 0 ? BALANCER_DETECTION_TIME : limit;
        loop.post(capacity::saveHistories);
        loop.post(membership::leave);
        context.after(
                detectionTime,
                () -> {
                    Instant end = context.now().plus(limit.minus(detectionTime));
                    callerServer.stopGracefully();
                    requests.drain(end);
                });
        return drained.thenRun(
                () ->
                        log.event(LogEvent.DRAIN_ENDED)
                                .with("in_progress", callerServer.inProgress())
                                .write());
    }

    @Override
    public void stop() {
        supervisor.stop();
        connections.close();
        callTimers.shutdownNow();
        loop.close();
        timers.close();
        log.event(LogEvent.INSTANCE_STOPPED).write();
    }

    @Override
    public byte[] metrics() {
        return metrics.toPrometheusText();
    }

    @Override
    public boolean alive() {
        return !failed;
    }

    @Override
    public boolean ready() {
        return configured && !draining && !failed;
    }

    @Override
    public CompletionStage<JsonNode> state() {
        return onLoop(this::createState);
    }

    @Override
    public CompletionStage<JsonNode> status() {
        return onLoop(status::create);
    }

    private CompletionStage<JsonNode> onLoop(Supplier<JsonNode> supplier) {
        CompletableFuture<JsonNode> result = new CompletableFuture<>();
        loop.postUrgent(
                () -> {
                    try {
                        result.complete(supplier.get());
                    } catch (RuntimeException failure) {
                        result.completeExceptionally(failure);
                    }
                });
        return result;
    }

    private JsonNode createState() {
        ObjectNode state = Json.object();
        state.put("process", context.process().value());
        state.put("now", context.now().toString());
        state.put("ready", ready());
        state.put("draining", draining);
        state.put("objectApiUp", objectApi.isUp());
        state.put("eventLoopQueue", loop.queueSize());
        List<StateSource> sources =
                List.of(requests, capacity, configuration, membership, directory, peers);
        for (StateSource source : sources) {
            state.set(source.stateName(), source.state());
        }
        return state;
    }

    private void updateMetrics() {
        long readyReplicas =
                capacity.drivers().values().stream()
                        .flatMap(driver -> driver.announcer().artifactStates().values().stream())
                        .mapToLong(state -> state.ready().size())
                        .sum();
        metricsUpdater.update(
                loop.queueSize(), requests.requestsInProgress(), readyReplicas, transport.counts());
    }

    /** Requests the configuration from the peers in the settings until one has been installed. */
    private void requestConfiguration() {
        if (configured) {
            return;
        }
        PeerMessage request =
                new PeerMessage.ConfigurationRequest(
                        PeerMessage.FORMAT_VERSION, configuration.current().version(), true);
        settings.peers().forEach(peer -> peers.send(peer, request));
    }

    /** The transport of messages between entry instances, as a supervised part. */
    private final class PeerPart implements SupervisedPart {
        @Override
        public String name() {
            return "peer-transport";
        }

        @Override
        public void start() throws TarragonlugException {
            transport =
                    new TcpPeerTransport(
                            PeerTransportSettings.of(
                                    settings.deployment(),
                                    settings.instance(),
                                    context.process(),
                                    settings.peerAddress(),
                                    ServerDirectory.addressText(settings.peerAddress())),
                            peers,
                            new SplittableRandom(settings.instance().hashCode()),
                            PeerThreads.dedicated());
            peers.setTransport(transport);
        }

        @Override
        public void stop() {
            if (transport != null) {
                transport.close();
            }
        }
    }

    /** The drivers as a supervised part; they are started on the event loop. */
    private final class DriversPart implements SupervisedPart {
        @Override
        public String name() {
            return "drivers";
        }

        @Override
        public void start() {
            loop.post(
                    () -> {
                        membership.start();
                        configuration.start();
                        tickets.start();
                        requests.start();
                        directory.start();
                        poller.start();
                        context.every(METRICS_PERIOD, EntryInstance.this::updateMetrics);
                        context.every(
                                CONFIGURATION_REQUEST_PERIOD,
                                EntryInstance.this::requestConfiguration);
                        context.every(STATUS_PERIOD, statusWriter::write);
                    });
        }

        @Override
        public void stop() {
            // The drivers stop when the event loop and the timers are closed.
        }
    }

    /** Passes the memory of the largest servers to the configuration driver. */
    private final class MemoryListener implements ReportListener {
        @Override
        public void onEngineReport(ServerReport report, Instant askedAt) {
            configuration.onServerMemoryChanged(capacity.largestServerMemory());
        }

        @Override
        public void onServiceReport(ServiceReport report, Instant askedAt) {
            // Plain services have no artifacts.
        }

        @Override
        public void onUnreachable(ServerId server, boolean connectionRefused) {
            // The memory that the server reported before stays valid.
        }
    }
}
