package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.tarragonlug.caller.CallerAnswer;
import org.tarragonlug.caller.CallerListener;
import org.tarragonlug.caller.CallerRequest;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.decision.request.ColdStart;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestCoordinator;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.decision.request.ServerDescription;
import org.tarragonlug.engine.EngineClient;
import org.tarragonlug.engine.Generation;
import org.tarragonlug.engine.GenerationListener;
import org.tarragonlug.engine.GenerationRequest;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.InstanceKind;
import org.tarragonlug.instancelist.ListedInstance;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.plainservice.PlainServiceClient;
import org.tarragonlug.plainservice.ServiceAnswer;
import org.tarragonlug.plainservice.ServiceCall;
import org.tarragonlug.plainservice.ServiceListener;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.StateSource;

/** Runs the request coordinator, which connects requests of callers to backend servers. */
final class RequestDriver implements CallerListener, InstanceListListener, StateSource {
    private static final Duration TICK = Duration.ofMillis(5);

    /** An idle instance ticks every 100 ms instead of 200 times per second, to save CPU time. */
    private static final int IDLE_TICK_FACTOR = 20;

    private static final String QUARANTINE = "quarantine";

    private final InstanceContext context;
    private final RequestCoordinator coordinator;
    private final ServerDirectory directory;
    private final ReportPoller poller;
    private final EngineClient engines;
    private final PlainServiceClient services;
    private final ObjectApi objectApi;
    private final PeerMessageDispatcher peers;
    private final ClaimStore claims;
    private final DemandListener demandListener;
    private final Runnable onDrained;
    private final RequestDescriber describer;
    private final Map<RequestId, Exchange> exchanges = new HashMap<>();
    private final Map<AttemptId, RunningAttempt> attempts = new HashMap<>();
    private final ServerObserver serverObserver;
    private volatile boolean hasWork;
    private long ticks;
    private final Map<ArtifactId, Instant> readySince = new HashMap<>();

    RequestDriver(
            InstanceContext context,
            RequestCoordinator coordinator,
            ServerDirectory directory,
            ReportPoller poller,
            EngineClient engines,
            PlainServiceClient services,
            ObjectApi objectApi,
            PeerMessageDispatcher peers,
            DemandListener demandListener,
            Runnable onDrained) {
        this.context = context;
        this.coordinator = coordinator;
        this.directory = directory;
        this.poller = poller;
        this.engines = engines;
        this.services = services;
        this.objectApi = objectApi;
        this.peers = peers;
        this.serverObserver = new ServerObserver(context, this::handle);
        this.claims = new ClaimStore(context, objectApi, peers, this::handle);
        this.demandListener = demandListener;
        this.onDrained = onDrained;
        this.describer = new RequestDescriber(context.hasher());
        registerMessageHandlers();
    }

    private void registerMessageHandlers() {
        peers.setHandler(
                PeerMessage.SuspectsAnnounced.class,
                (from, message) ->
                        handle(
                                new RequestEvent.SuspectsAnnounced(
                                        message.server(), message.fingerprints())));
        peers.setHandler(
                PeerMessage.FingerprintCondemned.class,
                (from, message) ->
                        handle(new RequestEvent.FingerprintQuarantined(message.fingerprint())));
        peers.setHandler(PeerMessage.ReplicasChanged.class, this::onReplicasChanged);
    }

    void start() {
        claims.start();
        context.timers().schedulePeriodically(TICK, due -> postTick());
        context.onLoop(
                objectApi.list(QUARANTINE),
                (listed, failure) -> {
                    if (failure == null) {
                        listed.changed().forEach(this::restoreQuarantine);
                    }
                });
    }

    /** Posts every tick while requests are in progress, and one tick in 20 on an idle instance. */
    private void postTick() {
        ticks++;
        if (hasWork || ticks % IDLE_TICK_FACTOR == 0) {
            context.loop().post(this::tick);
        }
    }

    private void tick() {
        handle(new RequestEvent.Tick());
        hasWork = !exchanges.isEmpty() || !attempts.isEmpty();
    }

    private void restoreQuarantine(StoredObject object) {
        if (object.exists()) {
            handle(new RequestEvent.FingerprintQuarantined(new Fingerprint(object.name().name())));
        }
    }

    @Override
    public void onRequest(CallerRequest request, CallerAnswer answer) {
        try {
            String kind = request.json().isPresent() ? "model" : "service";
            context.metrics().requests().labelValues(kind).inc();
            RequestEvent.RequestArrived event =
                    new RequestEvent.RequestArrived(request.id(), describer.describe(request));
            context.loop()
                    .post(
                            () -> {
                                hasWork = true;
                                exchanges.put(
                                        request.id(), new Exchange(request, answer, context.now()));
                                handle(event);
                            });
        } catch (TarragonlugException malformed) {
            answer.refuse(
                    malformed.code(), Execution.NOT_RUN, Optional.empty(), malformed.detail());
        }
    }

    @Override
    public void onRefused(ErrorCode code) {
        context.metrics().refusals().labelValues(code.code(), Execution.NOT_RUN.text()).inc();
    }

    @Override
    public void onCallerDisconnected(CallerRequest request) {
        context.loop().post(() -> handle(new RequestEvent.CallerDisconnected(request.id())));
    }

    @Override
    public void onInstanceListChanged(
            List<ListedInstance> instances,
            Set<InstanceId> removedInstances,
            Set<ServerId> removedServers) {
        Map<ServerGroup, List<ServerDescription>> groups = new TreeMap<>();
        for (ListedInstance instance : instances) {
            if (instance.kind() != InstanceKind.ENTRY) {
                groups.computeIfAbsent(instance.group(), unused -> new ArrayList<>())
                        .add(
                                new ServerDescription(
                                        new ServerId(instance.id()),
                                        instance.failureDomain(),
                                        instance.leaving()));
            }
        }
        groups.forEach((group, servers) -> handle(new RequestEvent.ServersChanged(group, servers)));
    }

    private void onReplicasChanged(InstanceId from, PeerMessage.ReplicasChanged message) {
        for (PeerMessage.ArtifactReplicas replicas : message.artifacts()) {
            if (replicas.ready().isEmpty()) {
                readySince.remove(replicas.artifact());
            } else {
                readySince.putIfAbsent(replicas.artifact(), context.now());
            }
            ColdStart coldStart = ColdStart.UNDECIDED;
            if (replicas.loading()) {
                coldStart = ColdStart.LOADING;
            } else if (replicas.unavailable()) {
                coldStart = ColdStart.UNAVAILABLE;
            }
            handle(
                    new RequestEvent.ReplicasChanged(
                            message.group(),
                            replicas.artifact(),
                            Set.copyOf(replicas.ready()),
                            coldStart,
                            coldStart == ColdStart.UNDECIDED
                                    ? Optional.empty()
                                    : Optional.of(context.now().plus(replicas.expectedWait()))));
        }
    }

    /** Returns the listener that passes reports of backend servers to the request coordinator. */
    ReportListener reportListener() {
        return serverObserver;
    }

    void configure(Configuration configuration) {
        handle(new RequestEvent.ConfigurationChanged(configuration));
    }

    void drain(Instant deadline) {
        handle(new RequestEvent.DrainStarted(deadline));
    }

    int requestsInProgress() {
        return exchanges.size();
    }

    private void handle(RequestEvent event) {
        for (RequestCommand command : coordinator.handle(event, context.now())) {
            execute(command);
        }
    }

    private void execute(RequestCommand command) {
        if (command instanceof RequestCommand.ForwardToken token) {
            forward(token);
        } else if (command instanceof RequestCommand.SendGeneration send) {
            send(send);
        } else if (command instanceof RequestCommand.SendCall call) {
            send(call);
        } else if (command instanceof RequestCommand.CancelAttempt cancel) {
            cancel(cancel.attempt());
        } else if (command instanceof RequestCommand.CompleteAnswer complete) {
            exchange(complete.request())
                    .ifPresent(e -> e.answer().complete(complete.tokens(), complete.checksum()));
            end(complete.request());
        } else if (command instanceof RequestCommand.ForwardAnswer forward) {
            forward(forward);
        } else if (command instanceof RequestCommand.ForwardRecordedAnswer recorded) {
            forward(recorded);
        } else if (command instanceof RequestCommand.Refuse refuse) {
            refuse(refuse);
        } else if (command instanceof RequestCommand.DiscardRequest discard) {
            end(discard.request());
        } else {
            executeOther(command);
        }
    }

    private void executeOther(RequestCommand command) {
        if (command instanceof RequestCommand.ReportDemand report) {
            demandListener.onDemand(report.pool(), report.demand());
        } else if (command instanceof RequestCommand.CheckServer check) {
            poller.requestReport(check.server());
        } else if (command instanceof RequestCommand.CreateClaim create) {
            claims.make(create);
        } else if (command instanceof RequestCommand.TakeOverClaim takeOver) {
            claims.take(takeOver);
        } else if (command instanceof RequestCommand.FinishClaim finish) {
            answer(finish.attempt()).ifPresent(answer -> claims.finish(finish.key(), answer));
        } else if (command instanceof RequestCommand.ReleaseClaim release) {
            claims.release(release.key());
        } else if (command instanceof RequestCommand.AnnounceSuspects suspects) {
            announceSuspects(suspects);
        } else if (command instanceof RequestCommand.QuarantineFingerprint quarantine) {
            quarantine(quarantine.fingerprint());
        } else if (command instanceof RequestCommand.Drained) {
            onDrained.run();
        }
    }

    private Optional<Exchange> exchange(RequestId request) {
        return Optional.ofNullable(exchanges.get(request));
    }

    private Optional<ServiceAnswer> answer(AttemptId attempt) {
        return Optional.ofNullable(attempts.get(attempt)).map(running -> running.answer);
    }

    private void forward(RequestCommand.ForwardToken token) {
        Exchange exchange = exchanges.get(token.request());
        if (exchange == null) {
            return;
        }
        if (exchange.markFirstToken()) {
            Duration waited = Duration.between(exchange.arrivedAt(), context.now());
            context.metrics().firstTokenSeconds().observe(waited.toNanos() / 1e9);
        }
        context.metrics().tokens().inc();
        exchange.answer().addToken(token.text());
    }

    private void forward(RequestCommand.ForwardAnswer forward) {
        answer(forward.attempt())
                .ifPresent(
                        answer ->
                                exchange(forward.request())
                                        .ifPresent(e -> e.answer().sendServiceAnswer(answer)));
        end(forward.request());
    }

    private void forward(RequestCommand.ForwardRecordedAnswer recorded) {
        claims.takeRecordedAnswer(recorded.request())
                .ifPresent(
                        answer ->
                                exchange(recorded.request())
                                        .ifPresent(e -> e.answer().sendServiceAnswer(answer)));
        end(recorded.request());
    }

    private void refuse(RequestCommand.Refuse refuse) {
        ErrorCode code = ErrorCode.valueOf(refuse.reason().name());
        context.metrics().refusals().labelValues(code.code(), refuse.execution().text()).inc();
        context.log()
                .event(LogEvent.REQUEST_REFUSED)
                .with("request", refuse.request())
                .with("code", code.code())
                .with("execution", refuse.execution().text())
                .with("detail", refuse.detail())
                .write();
        exchange(refuse.request())
                .ifPresent(
                        exchange ->
                                exchange.answer()
                                        .refuse(
                                                code,
                                                refuse.execution(),
                                                refuse.retryAfter(),
                                                refuse.detail()));
        end(refuse.request());
    }

    private void end(RequestId request) {
        Exchange ended = exchanges.remove(request);
        if (ended != null) {
            ended.attempts().forEach(attempts::remove);
            claims.takeRecordedAnswer(request);
        }
    }

    private void send(RequestCommand.SendGeneration send) {
        Exchange exchange = exchanges.get(send.request());
        Optional<InetSocketAddress> address = directory.address(send.server());
        context.metrics().attempts().labelValues("generation").inc();
        if (exchange == null || address.isEmpty()) {
            postAttemptFailure(
                    send.attempt(),
                    AttemptFailure.NOT_SENT,
                    "the request has ended or the server is not listed");
            return;
        }
        poller.markUsed(send.server());
        observeColdStart(exchange, send.artifact());
        RunningAttempt running = new RunningAttempt();
        attempts.put(send.attempt(), running);
        exchange.attempts().add(send.attempt());
        GenerationRequest request =
                new GenerationRequest(
                        send.attempt(),
                        send.artifact(),
                        exchange.request().path(),
                        exchange.request().json().orElseThrow(),
                        send.priority(),
                        send.resumeOffset(),
                        send.remaining());
        running.generation = engines.generate(address.get(), request, listener(send.attempt()));
    }

    /**
     * Records the waiting time of a request that arrived before its artifact had a ready replica.
     */
    private void observeColdStart(Exchange exchange, ArtifactId artifact) {
        Instant ready = readySince.get(artifact);
        if (exchange.attempts().isEmpty() && ready != null && ready.isAfter(exchange.arrivedAt())) {
            Duration waited = Duration.between(exchange.arrivedAt(), context.now());
            context.metrics().coldStartSeconds().observe(waited.toNanos() / 1e9);
        }
    }

    private GenerationListener listener(AttemptId attempt) {
        return new GenerationListener() {
            @Override
            public void onToken(int offset, String text) {
                context.loop()
                        .post(() -> handle(new RequestEvent.AttemptToken(attempt, offset, text)));
            }

            @Override
            public void onCompleted(int tokens, String checksum) {
                context.loop()
                        .post(
                                () ->
                                        handle(
                                                new RequestEvent.AttemptCompleted(
                                                        attempt, tokens, checksum)));
            }

            @Override
            public void onFailed(AttemptFailure failure, String detail) {
                RequestDriver.this.postAttemptFailure(attempt, failure, detail);
            }
        };
    }

    private void postAttemptFailure(AttemptId attempt, AttemptFailure failure, String detail) {
        context.loop()
                .post(
                        () -> {
                            context.metrics().attemptFailures().labelValues(failure.name()).inc();
                            handle(new RequestEvent.AttemptFailed(attempt, failure, detail));
                        });
    }

    private void send(RequestCommand.SendCall send) {
        Exchange exchange = exchanges.get(send.request());
        Optional<InetSocketAddress> address = directory.address(send.server());
        context.metrics().attempts().labelValues("call").inc();
        if (exchange == null || address.isEmpty()) {
            postAttemptFailure(
                    send.attempt(),
                    AttemptFailure.NOT_SENT,
                    "the request has ended or the server is not listed");
            return;
        }
        poller.markUsed(send.server());
        attempts.put(send.attempt(), new RunningAttempt());
        exchange.attempts().add(send.attempt());
        CallerRequest request = exchange.request();
        String target =
                request.query().isEmpty() ? request.path() : request.path() + "?" + request.query();
        ServiceCall call =
                new ServiceCall(
                        send.attempt(),
                        request.method(),
                        target,
                        request.headers(),
                        request.body(),
                        send.remaining());
        services.call(address.get(), call, serviceListener(send.attempt()));
    }

    private ServiceListener serviceListener(AttemptId attempt) {
        return new ServiceListener() {
            @Override
            public void onAnswer(ServiceAnswer answer) {
                context.loop()
                        .post(
                                () -> {
                                    RunningAttempt running = attempts.get(attempt);
                                    if (running != null) {
                                        running.answer = answer;
                                    }
                                    handle(
                                            new RequestEvent.AttemptAnswered(
                                                    attempt, answer.status()));
                                });
            }

            @Override
            public void onFailed(AttemptFailure failure, String detail) {
                RequestDriver.this.postAttemptFailure(attempt, failure, detail);
            }
        };
    }

    private void cancel(AttemptId attempt) {
        RunningAttempt running = attempts.remove(attempt);
        if (running != null && running.generation != null) {
            running.generation.cancel();
        }
    }

    private void announceSuspects(RequestCommand.AnnounceSuspects suspects) {
        context.log().event(LogEvent.SERVER_LOST).with("server", suspects.server()).write();
        String incarnation = serverObserver.incarnation(suspects.server()).orElse("unknown");
        peers.sendToAll(
                new PeerMessage.SuspectsAnnounced(
                        PeerMessage.FORMAT_VERSION,
                        suspects.server(),
                        incarnation,
                        suspects.fingerprints()));
    }

    private void quarantine(Fingerprint fingerprint) {
        context.log().event(LogEvent.REQUEST_QUARANTINED).with("fingerprint", fingerprint).write();
        peers.sendToAll(
                new PeerMessage.FingerprintCondemned(
                        PeerMessage.FORMAT_VERSION, fingerprint, "it crashed backend servers"));
        ObjectNode content = Json.object();
        content.put("formatVersion", 1);
        content.put("condemnedBy", context.process().value());
        content.put("condemnedAt", context.now().toString());
        objectApi.write(
                new ObjectName(QUARANTINE, fingerprint.value()), content, StoredObject.ABSENT);
    }

    @Override
    public String stateName() {
        return "requests";
    }

    @Override
    public JsonNode state() {
        ObjectNode state = Json.object();
        state.put("inProgress", exchanges.size());
        state.put("attempts", attempts.size());
        state.put("claimsHeld", claims.heldClaimCount());
        state.set("servers", serverObserver.state());
        return state;
    }

    /** The generation and answer of an attempt in progress at a backend server. */
    private static final class RunningAttempt {
        private Generation generation;
        private ServiceAnswer answer;
    }
}
