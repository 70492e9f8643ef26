package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import org.tarragonlug.decision.request.ColdStart;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestCoordinator;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.decision.request.ServerDescription;
import org.tarragonlug.engine.EngineClient;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.InstanceKind;
import org.tarragonlug.instancelist.ListedInstance;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.plainservice.PlainServiceClient;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.StateSource;

/** Runs the request coordinator, which connects requests of callers to backend servers. */
final class RequestDriver implements CallerListener, InstanceListListener, StateSource {
    private static final Duration TICK = Duration.ofMillis(5);

    /** An idle instance ticks every 100 ms instead of 200 times per second, to save CPU time. */
    private static final int IDLE_TICK_FACTOR = 20;

    private final InstanceContext context;
    private final RequestCoordinator coordinator;
    private final ReportPoller poller;
    private final ClaimStore claims;
    private final SharedQuarantine quarantine;
    private final ColdStartTimes coldStarts;
    private final AttemptRunner attempts;
    private final DemandListener demandListener;
    private final Runnable onDrained;
    private final RequestDescriber describer;
    private final Map<RequestId, Exchange> exchanges = new HashMap<>();
    private final ServerObserver serverObserver;
    private volatile boolean hasWork;
    private long ticks;

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
        this.poller = poller;
        this.serverObserver = new ServerObserver(context, this::handle);
        this.quarantine =
                new SharedQuarantine(context, objectApi, peers, serverObserver, this::handle);
        this.coldStarts = new ColdStartTimes(context);
        this.attempts =
                new AttemptRunner(
                        context, directory, poller, engines, services, coldStarts, this::handle);
        this.claims = new ClaimStore(context, objectApi, peers, this::handle);
        this.demandListener = demandListener;
        this.onDrained = onDrained;
        this.describer = new RequestDescriber(context.hasher());
        peers.setHandler(PeerMessage.ReplicasChanged.class, this::onReplicasChanged);
    }

    void start() {
        claims.start();
        context.timers().schedulePeriodically(TICK, due -> postTick());
        quarantine.start();
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
        hasWork = !exchanges.isEmpty() || attempts.count() > 0;
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
            coldStarts.onReplicasChanged(replicas.artifact(), !replicas.ready().isEmpty());
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
            attempts.send(send, exchange(send.request()));
        } else if (command instanceof RequestCommand.SendCall call) {
            attempts.send(call, exchange(call.request()));
        } else if (command instanceof RequestCommand.CancelAttempt cancel) {
            attempts.cancel(cancel.attempt());
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
            attempts.answer(finish.attempt())
                    .ifPresent(answer -> claims.finish(finish.key(), answer));
        } else if (command instanceof RequestCommand.ReleaseClaim release) {
            claims.release(release.key());
        } else if (command instanceof RequestCommand.AnnounceSuspects suspects) {
            quarantine.announce(suspects);
        } else if (command instanceof RequestCommand.QuarantineFingerprint found) {
            quarantine.quarantine(found.fingerprint());
        } else if (command instanceof RequestCommand.Drained) {
            onDrained.run();
        }
    }

    private Optional<Exchange> exchange(RequestId request) {
        return Optional.ofNullable(exchanges.get(request));
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
        attempts.answer(forward.attempt())
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
            attempts.removeAll(ended.attempts());
            claims.takeRecordedAnswer(request);
        }
    }

    @Override
    public String stateName() {
        return "requests";
    }

    @Override
    public JsonNode state() {
        ObjectNode state = Json.object();
        state.put("inProgress", exchanges.size());
        state.put("attempts", attempts.count());
        state.put("claimsHeld", claims.heldClaimCount());
        state.set("servers", serverObserver.state());
        return state;
    }
}
