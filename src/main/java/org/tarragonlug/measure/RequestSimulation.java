package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.decision.request.ColdStart;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.decision.request.ServerDescription;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/**
 * Simulates the environment of one request state machine in virtual time: callers, a server group
 * of engines, a server group of a plain service, claims, and the loading of models. Faults are
 * injected by methods of this class and at random according to {@link RequestFaults}.
 */
public final class RequestSimulation {
    /** The server group of the model engines. */
    public static final ServerGroup ENGINES = new ServerGroup("engines");

    /** The server group of the plain service. */
    public static final ServerGroup SERVICES = new ServerGroup("services");

    private static final double NETWORK_LATENCY_MILLIS = 1.5;
    private static final double OBJECT_API_LATENCY_MILLIS = 4;
    private static final double TICK_INTERVAL_MILLIS = 5;
    private static final double REPORT_INTERVAL_MILLIS = 500;
    private static final double UNREACHABLE_DETECTION_MILLIS = 300;
    private static final int OK_STATUS = 200;

    private final VirtualTime time = new VirtualTime();
    private final StateMachine<RequestEvent, RequestCommand> machine;
    private final RandomGenerator random;
    private final RequestFaults faults;
    private final RequestSimulationObserver observer;
    private final SimulatedClaims claims = new SimulatedClaims();
    private final Map<ServerId, RequestServer> servers = new LinkedHashMap<>();
    private final Map<ServerGroup, List<ServerDescription>> listedServers = new HashMap<>();
    private final Map<RequestId, SimulatedRequest> requests = new HashMap<>();
    private final Set<ArtifactId> loadingArtifacts = new HashSet<>();

    /**
     * Creates a simulation without servers.
     *
     * @param machine the coordinator or a baseline
     * @param random decides which faults occur and where models are loaded
     * @param faults probabilities and durations of the faults
     * @param observer notified of arrivals, commands, started attempts and crashes
     */
    public RequestSimulation(
            StateMachine<RequestEvent, RequestCommand> machine,
            RandomGenerator random,
            RequestFaults faults,
            RequestSimulationObserver observer) {
        this.machine = machine;
        this.random = random;
        this.faults = faults;
        this.observer = observer;
        tick();
        queryAllServers();
    }

    /** Returns the virtual clock, which also schedules further actions. */
    public VirtualTime time() {
        return time;
    }

    /** Returns the simulated store of idempotency claims. */
    public SimulatedClaims claims() {
        return claims;
    }

    /** Returns the server with an id, or null if there is none. */
    public RequestServer server(ServerId id) {
        return servers.get(id);
    }

    /** Returns the ids of all servers, in the order in which they were added. */
    public List<ServerId> serverIds() {
        return List.copyOf(servers.keySet());
    }

    /**
     * Adds a server to a group and publishes the changed group.
     *
     * @param group the group of the server
     * @param slots number of requests that the server runs at once
     * @param tokenMillis time per token, milliseconds
     * @return the id of the server
     */
    public ServerId addServer(ServerGroup group, int slots, double tokenMillis) {
        ServerId id = new ServerId(group + "-" + servers.size());
        servers.put(id, new RequestServer(id, slots, tokenMillis, time, new ServerEvents()));
        FailureDomain domain = new FailureDomain("domain-" + servers.size() % 3);
        listedServers
                .computeIfAbsent(group, key -> new ArrayList<>())
                .add(new ServerDescription(id, domain, false));
        publishServers(group);
        return id;
    }

    /** Sets how many requests a server queues beyond its slots before it rejects requests. */
    public void setQueueLimit(ServerId id, int limit) {
        servers.get(id).queueLimit = limit;
    }

    /** Loads an artifact at a server immediately, and publishes its replicas. */
    public void load(ArtifactId artifact, ServerId server) {
        servers.get(server).loaded.add(artifact);
        publishReplicas(artifact, ColdStart.UNDECIDED, Optional.empty());
    }

    /** Passes an event to the state machine and executes the resulting commands. */
    public void handle(RequestEvent event) {
        for (RequestCommand command : machine.handle(event, time.now())) {
            observer.onCommand(command, time.now());
            execute(command);
        }
    }

    /** Submits a request to the state machine at the present virtual time. */
    public void submit(SimulatedRequest request) {
        requests.put(request.id(), request);
        observer.onRequestArrived(request, time.now());
        handle(new RequestEvent.RequestArrived(request.id(), request.description()));
    }

    /**
     * Crashes a server's process if it is running. The process restarts after {@link
     * RequestFaults#restartMillis()}, without loaded artifacts if {@link
     * RequestFaults#restartsEmpty()} is set.
     */
    public void crash(ServerId id) {
        if (servers.get(id).alive) {
            servers.get(id).crash();
        }
    }

    /** Makes a server unreachable, or reachable again. */
    public void setPartitioned(ServerId id, boolean partitioned) {
        servers.get(id).partitioned = partitioned;
    }

    /** Makes every open connection to a server silent. New connections work. */
    public void silenceConnections(ServerId id) {
        servers.get(id).jobs.values().forEach(job -> job.silent = true);
    }

    /**
     * Breaks every open connection to a server. The server continues the attempts, and their
     * results still arrive during a random delay.
     */
    public void breakConnections(ServerId id) {
        for (RequestServer.Job job : List.copyOf(servers.get(id).jobs.values())) {
            breakConnection(job);
        }
    }

    /** Makes a server reject new requests. The instance list shows the change after a lag. */
    public void markLeaving(ServerGroup group, ServerId id, double lagMillis) {
        servers.get(id).leaving = true;
        time.afterMillis(
                lagMillis,
                () -> {
                    listedServers
                            .get(group)
                            .replaceAll(
                                    entry ->
                                            entry.server().equals(id)
                                                    ? new ServerDescription(
                                                            id, entry.failureDomain(), true)
                                                    : entry);
                    publishServers(group);
                });
    }

    private void tick() {
        handle(new RequestEvent.Tick());
        time.afterMillis(TICK_INTERVAL_MILLIS, this::tick);
    }

    private void queryAllServers() {
        servers.keySet().forEach(this::queryServer);
        time.afterMillis(REPORT_INTERVAL_MILLIS, this::queryAllServers);
    }

    private void queryServer(ServerId id) {
        RequestServer server = servers.get(id);
        Instant fetchedAt = time.now();
        if (server.partitioned) {
            RequestEvent event = new RequestEvent.ServerUnreachable(id);
            time.afterMillis(UNREACHABLE_DETECTION_MILLIS, () -> handle(event));
            return;
        }
        RequestEvent event =
                server.alive
                        ? new RequestEvent.ServerReported(
                                id,
                                "incarnation-" + server.incarnation,
                                server.leaving,
                                server.running(),
                                server.queued(),
                                Optional.of(server.loaded),
                                fetchedAt)
                        : new RequestEvent.ServerLost(id, Optional.empty());
        time.afterMillis(2 * NETWORK_LATENCY_MILLIS, () -> handle(event));
    }

    private void publishServers(ServerGroup group) {
        handle(new RequestEvent.ServersChanged(group, listedServers.get(group)));
    }

    private void publishReplicas(
            ArtifactId artifact, ColdStart coldStart, Optional<Instant> expectedReadyAt) {
        Set<ServerId> ready = new HashSet<>();
        for (RequestServer server : servers.values()) {
            if (server.alive && !server.leaving && server.loaded.contains(artifact)) {
                ready.add(server.id);
            }
        }
        handle(
                new RequestEvent.ReplicasChanged(
                        ENGINES, artifact, ready, coldStart, expectedReadyAt));
    }

    private void execute(RequestCommand command) {
        if (command instanceof RequestCommand.SendGeneration send) {
            int offset = send.resumeOffset();
            transmit(send.attempt(), send.request(), send.server(), send.artifact(), offset);
        } else if (command instanceof RequestCommand.SendCall send) {
            transmit(send.attempt(), send.request(), send.server(), null, 0);
        } else if (command instanceof RequestCommand.CancelAttempt cancel) {
            RequestServer server = servers.get(cancel.server());
            double millis = faults.cancelDelayMillis(random) + NETWORK_LATENCY_MILLIS;
            time.afterMillis(millis, () -> server.cancel(cancel.attempt()));
        } else if (command instanceof RequestCommand.CheckServer check) {
            queryServer(check.server());
        } else if (command instanceof RequestCommand.CreateClaim make) {
            writeClaim(make.request(), () -> claims.make(make));
        } else if (command instanceof RequestCommand.TakeOverClaim take) {
            writeClaim(take.request(), () -> claims.take(take));
        } else if (command instanceof RequestCommand.FinishClaim finish) {
            time.afterMillis(OBJECT_API_LATENCY_MILLIS, () -> claims.finish(finish));
        } else if (command instanceof RequestCommand.ReleaseClaim release) {
            time.afterMillis(OBJECT_API_LATENCY_MILLIS, () -> claims.release(release));
        } else if (command instanceof RequestCommand.ReportDemand report) {
            startLoad(report.demand().artifact());
        }
    }

    private void transmit(
            AttemptId attempt, RequestId id, ServerId serverId, ArtifactId artifact, int offset) {
        RequestServer server = servers.get(serverId);
        SimulatedRequest request = requests.get(id);
        time.afterMillis(
                NETWORK_LATENCY_MILLIS,
                () -> {
                    RequestServer.Job job =
                            new RequestServer.Job(
                                    attempt, request, artifact == null, offset, server.incarnation);
                    AttemptFailure immediateFailure = immediateFailure(server, artifact);
                    if (immediateFailure != null) {
                        reportFailure(job, immediateFailure);
                        return;
                    }
                    job.silent = random.nextDouble() < faults.silentProbability();
                    server.submit(job);
                    if (random.nextDouble() < faults.brokenProbability()) {
                        double millis = random.nextDouble() * server.tokenMillis * 10;
                        time.afterMillis(millis, () -> breakConnection(job));
                    }
                });
    }

    private static AttemptFailure immediateFailure(RequestServer server, ArtifactId artifact) {
        if (server.partitioned || !server.alive) {
            return AttemptFailure.NOT_SENT;
        }
        if (server.leaving) {
            return AttemptFailure.REFUSED_LEAVING;
        }
        boolean missing = artifact != null && !server.loaded.contains(artifact);
        return missing ? AttemptFailure.REFUSED_NOT_LOADED : null;
    }

    private void breakConnection(RequestServer.Job job) {
        if (!job.stopped && job.connected && !job.silent) {
            reportFailure(job, AttemptFailure.CONNECTION_LOST);
            // Tokens in transit still arrive for a while, and the server continues a service call
            // without the connection.
            time.afterMillis(faults.disconnectDelayMillis(random), () -> job.connected = false);
        }
    }

    private void reportFailure(RequestServer.Job job, AttemptFailure failure) {
        if (job.silent || !job.connected) {
            return;
        }
        RequestEvent event =
                new RequestEvent.AttemptFailed(job.attempt, failure, "simulated failure");
        time.afterMillis(NETWORK_LATENCY_MILLIS, () -> handle(event));
    }

    private void writeClaim(RequestId request, Supplier<RequestEvent> write) {
        double millis = OBJECT_API_LATENCY_MILLIS + faults.claimDelayMillis(random);
        double draw = random.nextDouble();
        time.afterMillis(
                millis,
                () -> {
                    if (draw < faults.claimUnavailableProbability()) {
                        handle(new RequestEvent.ClaimUnavailable(request));
                    } else if (draw
                            < faults.claimUnavailableProbability()
                                    + faults.claimUnknownProbability()) {
                        write.get();
                        handle(new RequestEvent.ClaimOutcomeUnknown(request));
                    } else {
                        handle(write.get());
                    }
                });
    }

    /** Loads an artifact with demand at a random server, and repeats the load if it fails. */
    private void startLoad(ArtifactId artifact) {
        boolean ready = servers.values().stream().anyMatch(s -> isReady(s, artifact));
        if (ready || !loadingArtifacts.add(artifact)) {
            return;
        }
        List<RequestServer> candidates = new ArrayList<>();
        for (ServerDescription entry : listedServers.getOrDefault(ENGINES, List.of())) {
            RequestServer server = servers.get(entry.server());
            if (server.alive && !server.leaving) {
                candidates.add(server);
            }
        }
        if (candidates.isEmpty()) {
            loadingArtifacts.remove(artifact);
            return;
        }
        RequestServer server = candidates.get(random.nextInt(candidates.size()));
        int incarnation = server.incarnation;
        Duration loadTime = Duration.ofMillis(faults.loadMillis());
        Optional<Instant> expectedReadyAt = Optional.of(time.now().plus(loadTime));
        publishReplicas(artifact, ColdStart.LOADING, expectedReadyAt);
        boolean failing = random.nextDouble() < faults.loadFailureProbability();
        time.after(
                loadTime,
                () -> {
                    loadingArtifacts.remove(artifact);
                    if (!failing && server.alive && server.incarnation == incarnation) {
                        server.loaded.add(artifact);
                    }
                    publishReplicas(artifact, ColdStart.UNDECIDED, Optional.empty());
                    if (failing) {
                        startLoad(artifact);
                    }
                });
    }

    private static boolean isReady(RequestServer server, ArtifactId artifact) {
        return server.alive && !server.leaving && server.loaded.contains(artifact);
    }

    private final class ServerEvents implements RequestServer.Listener {
        @Override
        public void onStarted(RequestServer server, RequestServer.Job job) {
            observer.onAttemptStarted(job.request, job.attempt, server.id, time.now());
        }

        @Override
        public void onToken(RequestServer.Job job, int offset) {
            if (random.nextDouble() >= faults.tokenLossProbability()) {
                String text = job.request.token(offset);
                deliver(job, new RequestEvent.AttemptToken(job.attempt, offset, text));
            }
        }

        @Override
        public void onCompleted(RequestServer.Job job) {
            deliver(
                    job,
                    job.serviceCall
                            ? new RequestEvent.AttemptAnswered(job.attempt, OK_STATUS)
                            : new RequestEvent.AttemptCompleted(
                                    job.attempt, job.request.tokens(), job.request.checksum()));
        }

        @Override
        public void onFailed(RequestServer.Job job, AttemptFailure failure) {
            reportFailure(job, failure);
        }

        @Override
        public void onCrashed(RequestServer server) {
            server.loaded.removeIf(artifact -> faults.restartsEmpty());
            observer.onServerCrashed(server.id, time.now());
            time.afterMillis(faults.restartMillis(), () -> server.alive = true);
        }

        private void deliver(RequestServer.Job job, RequestEvent event) {
            if (!job.silent && job.connected) {
                time.afterMillis(NETWORK_LATENCY_MILLIS, () -> handle(event));
            }
        }
    }
}
