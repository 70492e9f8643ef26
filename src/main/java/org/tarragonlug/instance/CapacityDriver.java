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
import org.tarragonlug.decision.capacity.CacheTier;
import org.tarragonlug.decision.capacity.CapacityCommand;
import org.tarragonlug.decision.capacity.CapacityEvent;
import org.tarragonlug.decision.capacity.DefaultCapacityPlanner;
import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.decision.capacity.FencingKind;
import org.tarragonlug.decision.capacity.ListedServer;
import org.tarragonlug.decision.capacity.LoadTimes;
import org.tarragonlug.decision.capacity.LoadTurn;
import org.tarragonlug.decision.capacity.Order;
import org.tarragonlug.decision.capacity.OrderKind;
import org.tarragonlug.decision.capacity.OrderOutcome;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.decision.capacity.TicketKind;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.engine.EngineClient;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.ListedInstance;
import org.tarragonlug.objectapi.CapacityRecordCodec;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.StateSource;

/** Runs the capacity planner of one server group. */
final class CapacityDriver implements StateSource {
    private static final Duration TICK = Duration.ofMillis(100);

    /**
     * Maximum duration of a model load. A slow weight store makes loads several times longer than
     * usual.
     */
    private static final Duration MODEL_HOLD_TIME = Duration.ofMinutes(5);

    private static final Duration ADAPTER_HOLD_TIME = Duration.ofSeconds(30);

    /** Maximum time until the deadline of a load turn; used if no request waits for the load. */
    private static final Duration MAXIMUM_DEADLINE_DELAY = Duration.ofHours(1);

    private final InstanceContext context;
    private final ServerGroup group;
    private final DefaultCapacityPlanner planner;
    private final LoadTimes loadTimes;
    private final ObjectApi objectApi;
    private final EngineClient engines;
    private final ServerDirectory directory;
    private final TicketDriver tickets;
    private final ReplicaAnnouncer announcer;
    private final HistoryStore history;
    private final CapacityRecordCodec codec = new CapacityRecordCodec();
    private final ObjectName recordName;
    private final Map<ServerId, ServerReport> reports = new HashMap<>();
    private final Map<ArtifactId, ArtifactLimit> limits = new HashMap<>();
    private final OrdersInFlight ordersInFlight = new OrdersInFlight();
    private JsonNode lastContent;
    private boolean decider;

    CapacityDriver(
            InstanceContext context,
            DefaultCapacityPlanner planner,
            LoadTimes loadTimes,
            ObjectApi objectApi,
            EngineClient engines,
            ServerDirectory directory,
            TicketDriver tickets,
            ReplicaAnnouncer announcer,
            HistoryStore history) {
        this.context = context;
        this.group = planner.group();
        this.planner = planner;
        this.loadTimes = loadTimes;
        this.objectApi = objectApi;
        this.engines = engines;
        this.directory = directory;
        this.tickets = tickets;
        this.announcer = announcer;
        this.history = history;
        this.recordName = new ObjectName("capacity", group.value());
    }

    void start() {
        history.start();
        context.every(TICK, () -> handle(new CapacityEvent.Tick()));
    }

    ServerGroup group() {
        return group;
    }

    /** Returns the ownership key of a group; the instance that owns this key is the decider. */
    static String ownershipKey(ServerGroup group) {
        return "capacity/" + group;
    }

    void setDeciding(boolean decides) {
        if (decides == decider) {
            return;
        }
        decider = decides;
        LogEvent event = decides ? LogEvent.BECAME_DECIDER : LogEvent.STOPPED_BEING_DECIDER;
        context.log().event(event).with("group", group).write();
        history.setDeciding(decides);
        handle(
                decides
                        ? new CapacityEvent.BecameDecider()
                        : new CapacityEvent.StoppedBeingDecider());
    }

    /** Saves the arrival history for the next decider before this process stops. */
    void saveHistory() {
        history.save();
    }

    boolean isDecider() {
        return decider;
    }

    void onDemand(InstanceId from, Demand demand) {
        announcer.onDemand(from, demand);
        handle(new CapacityEvent.DemandReported(from, demand));
    }

    void configure(Configuration configuration) {
        limits.clear();
        for (Pool pool : configuration.pools()) {
            if (pool.group().equals(group)) {
                pool.artifacts().forEach(limit -> limits.put(limit.artifact(), limit));
            }
        }
        handle(new CapacityEvent.ConfigurationChanged(configuration));
    }

    void onInstanceListChanged(List<ListedInstance> instances) {
        FencingKind fencing = context.settings().fencing().getOrDefault(group, FencingKind.IGNORED);
        List<ListedServer> servers = new ArrayList<>();
        for (ListedInstance instance : instances) {
            if (instance.group().equals(group)) {
                servers.add(
                        new ListedServer(
                                new ServerId(instance.id()),
                                instance.failureDomain(),
                                instance.leaving(),
                                fencing));
            }
        }
        handle(new CapacityEvent.ServersListed(servers));
    }

    void onProcessesEnded(Set<ProcessId> endedProcesses) {
        handle(new CapacityEvent.ProcessesStopped(endedProcesses));
    }

    void onReport(ServerReport report, Instant askedAt) {
        ordersInFlight.onReport(report, askedAt);
        reports.put(report.server(), report);
        handle(new CapacityEvent.ServerReported(report));
    }

    void onObjectApiStateChanged(boolean up) {
        handle(up ? new CapacityEvent.ObjectApiUp() : new CapacityEvent.ObjectApiDown());
    }

    private void handle(CapacityEvent event) {
        for (CapacityCommand command : planner.handle(event, context.now())) {
            execute(command);
        }
    }

    private void execute(CapacityCommand command) {
        if (command instanceof CapacityCommand.ReadRecord) {
            context.onLoop(objectApi.read(recordName), this::onRecordRead);
        } else if (command instanceof CapacityCommand.WriteRecord write) {
            writeRecord(write);
        } else if (command instanceof CapacityCommand.SendOrder send) {
            sendOrder(send.order());
        } else if (command instanceof CapacityCommand.RequestLoadTurn request) {
            requestLoadTurn(request);
        } else if (command instanceof CapacityCommand.ReturnLoadTurn turn) {
            tickets.cancelTurn(turn.operation());
        } else if (command instanceof CapacityCommand.PublishReplicas publish) {
            announcer.publishReplicas(publish);
        } else if (command instanceof CapacityCommand.ReportArtifact report) {
            announcer.updateArtifact(report);
        }
    }

    private void onRecordRead(StoredObject object, Throwable failure) {
        if (failure != null) {
            handle(new CapacityEvent.RecordReadFailed());
            return;
        }
        try {
            CapacityEvent read = new CapacityEvent.RecordRead(codec.read(object), object.version());
            lastContent = object.content();
            handle(read);
        } catch (TarragonlugException malformed) {
            context.log()
                    .event(LogEvent.PART_FAILED)
                    .with("part", recordName)
                    .with("failure", malformed.getMessage())
                    .write();
            handle(new CapacityEvent.RecordReadFailed());
        }
    }

    private void writeRecord(CapacityCommand.WriteRecord write) {
        ObjectNode content = codec.write(write.record(), lastContent);
        context.onLoop(
                objectApi.write(recordName, content, write.expectedVersion()),
                (written, failure) -> {
                    if (failure == null) {
                        lastContent = content;
                        handle(new CapacityEvent.WriteDone(write.operation(), written.revision()));
                    } else {
                        handle(writeFailureEvent(write.operation(), Failures.code(failure)));
                    }
                });
    }

    private static CapacityEvent writeFailureEvent(OperationId operation, ErrorCode code) {
        return switch (code) {
            case WRITE_CONFLICT -> new CapacityEvent.WriteConflict(operation);
            case OBJECT_API_UNAVAILABLE, OBJECT_TOO_LARGE ->
                    new CapacityEvent.WriteNotDone(operation);
            default -> new CapacityEvent.WriteOutcomeUnknown(operation);
        };
    }

    private void requestLoadTurn(CapacityCommand.RequestLoadTurn request) {
        ArtifactLimit limit = limits.get(request.artifact());
        boolean adapter = limit != null && limit.isAdapter();
        // Without demand the deadline is the maximum Instant, which cannot be sent to a peer.
        Instant latest = context.now().plus(MAXIMUM_DEADLINE_DELAY);
        Instant deadline = request.deadline().isBefore(latest) ? request.deadline() : latest;
        LoadTurn turn =
                new LoadTurn(
                        request.operation(),
                        adapter ? TicketKind.ADAPTER : TicketKind.MODEL,
                        deadline,
                        request.prewarming(),
                        adapter ? ADAPTER_HOLD_TIME : MODEL_HOLD_TIME);
        tickets.requestTurn(
                turn,
                (operation, hold) ->
                        handle(
                                new CapacityEvent.LoadTurnGranted(
                                        operation, context.now().plus(hold))));
    }

    private void sendOrder(Order order) {
        Optional<InetSocketAddress> address = directory.address(order.server());
        context.log()
                .event(LogEvent.ORDER_SENT)
                .with("kind", order.kind())
                .with("artifact", order.artifact())
                .with("server", order.server())
                .with("operation", order.operation())
                .with("fence", order.fence())
                .write();
        if (address.isEmpty()) {
            Instant now = context.now();
            context.loop().post(() -> onOrderEnded(order, OrderOutcome.NOT_SENT, now));
            return;
        }
        Instant sentAt = context.now();
        context.onLoop(
                engines.order(address.get(), order, ordersInFlight.add(order, sentAt)),
                (outcome, failure) ->
                        onOrderEnded(
                                order, failure == null ? outcome : OrderOutcome.UNKNOWN, sentAt));
    }

    private void onOrderEnded(Order order, OrderOutcome outcome, Instant sentAt) {
        ordersInFlight.remove(order);
        Duration took = Duration.between(sentAt, context.now());
        context.metrics().orders().labelValues(order.kind().name(), outcome.name()).inc();
        context.log()
                .event(LogEvent.ORDER_ENDED)
                .with("operation", order.operation())
                .with("kind", order.kind())
                .with("artifact", order.artifact())
                .with("server", order.server())
                .with("outcome", outcome)
                .with("took_ms", took.toMillis())
                .write();
        if (order.kind() == OrderKind.LOAD) {
            onLoadEnded(order, outcome, took);
        }
        handle(new CapacityEvent.OrderEnded(order.operation(), outcome));
    }

    private void onLoadEnded(Order order, OrderOutcome outcome, Duration took) {
        ArtifactLimit limit = limits.get(order.artifact());
        if (limit == null || outcome == OrderOutcome.UNKNOWN) {
            // An artifact that is in no pool has no expected load time, and the time until a lost
            // answer was detected does not show how fast the weight store is.
            tickets.cancelTurn(order.operation());
            return;
        }
        ServerReport report = reports.get(order.server());
        CacheTier tier = report == null ? CacheTier.REMOTE : report.tier(order.artifact());
        Duration expected = loadTimes.expected(limit, tier);
        if (outcome == OrderOutcome.DONE) {
            loadTimes.recordLoad(limit, tier, took);
        }
        tickets.onLoadEnded(order.operation(), took, expected);
    }

    /** Returns the announcer, whose artifact states are part of the status. */
    ReplicaAnnouncer announcer() {
        return announcer;
    }

    @Override
    public String stateName() {
        return "capacity/" + group;
    }

    @Override
    public JsonNode state() {
        ObjectNode state = codec.write(planner.record(), null);
        state.put("decider", decider);
        return state;
    }
}
