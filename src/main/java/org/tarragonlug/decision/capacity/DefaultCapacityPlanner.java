package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ServerGroup;

/**
 * The planner of one server group.
 *
 * <p>The planner keeps its observations and the last known record, and computes the next record
 * from them: it closes orders that have ended, removes servers that have left, and adds, retries or
 * unloads replicas. If the next record differs from the last one, the planner writes it by one
 * conditional update, and sends the new orders only after the write is known to have taken effect.
 * The planner decides nothing while a write is outstanding, so all changes that become necessary in
 * the meantime share the next write. After a conflict it computes all decisions again from the
 * stored record.
 *
 * <p>More replicas than decided are never loaded, because a load order is sent only for a slot or
 * standby slot of the record, and a slot is removed only when no load order for it can be executed
 * any more (see {@link OrderClosing}). Memory is never overcommitted, because slots reserve their
 * memory until then and {@link CapacityRecord} checks every addition against the memory of the
 * server.
 *
 * <p>Limits: the planner relies on the events that report stopped processes and servers that have
 * left. An engine that checks fencing tokens must keep the highest token of each artifact across
 * restarts. A request that is routed to a replica at the moment its unload is ordered may find it
 * unloaded.
 */
public final class DefaultCapacityPlanner implements CapacityPlanner {
    private static final Duration DECISION_PERIOD = Duration.ofMillis(500);
    private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);
    private static final Duration STANDBY_PERIOD = Duration.ofSeconds(2);
    private static final Duration READ_PERIOD = Duration.ofSeconds(10);

    private final CapacitySettings settings;
    private final GroupView view;
    private final RecordWriter writer;
    private final OrderTracker tracker;
    private final OrderClosing closing;
    private final ServerMaintenance servers;
    private final LoadFailures failures = new LoadFailures();
    private final ReplicaDecisions replicas;
    private final UnloadDecisions unloads;
    private final StandbyMaintenance standbySlots;
    private final StandbyUse standbyUse;
    private final ReplicaPublisher publisher;
    private final InvariantChecks checks;
    private final KeepWarmPolicy keepWarmPolicy;
    private CapacityRecord observedRecord;
    private boolean decider;
    private boolean configured;
    private Instant nextDecision = Instant.MIN;
    private Instant nextCheck = Instant.MIN;
    private Instant nextPublication = Instant.MIN;
    private Instant nextStandby = Instant.MIN;
    private Instant nextRead = Instant.MIN;
    private long operationCount;

    /**
     * Creates a planner without any observations.
     *
     * @param settings settings of the planner
     * @param loadTimes expected load times; the caller records the observed load times in it
     * @param placement chooses the servers of new replicas
     * @param keepWarmPolicy decides when idle artifacts are unloaded and when artifacts are
     *     prewarmed
     * @param random randomises the delay of writes after conflicts and outages
     * @param listener receives violations of invariants
     */
    public DefaultCapacityPlanner(
            CapacitySettings settings,
            LoadTimes loadTimes,
            Placement placement,
            KeepWarmPolicy keepWarmPolicy,
            RandomGenerator random,
            InvariantListener listener) {
        this.settings = settings;
        this.keepWarmPolicy = keepWarmPolicy;
        Supplier<OperationId> operations = this::nextOperation;
        view = new GroupView(settings);
        writer = new RecordWriter(settings, random);
        tracker = new OrderTracker(settings, view, writer);
        closing = new OrderClosing(view, tracker);
        servers = new ServerMaintenance(view);
        standbyUse = new StandbyUse(settings, view, writer, tracker, operations);
        standbySlots = new StandbyMaintenance(view, standbyUse);
        IdleSlots idleSlots = new IdleSlots(loadTimes, view, keepWarmPolicy);
        ReplicaPlacer placer = new ReplicaPlacer(view, placement, idleSlots, failures, standbyUse);
        replicas =
                new ReplicaDecisions(settings, loadTimes, view, keepWarmPolicy, failures, placer);
        unloads = new UnloadDecisions(view, tracker, idleSlots, replicas);
        publisher = new ReplicaPublisher(loadTimes, view, writer, tracker, standbyUse);
        checks = new InvariantChecks(view, writer, tracker, listener, operations);
        observedRecord = writer.record();
    }

    /** Returns the server group that this planner plans for. */
    public ServerGroup group() {
        return settings.group();
    }

    /** Returns the last known record; the state dump contains it. */
    public CapacityRecord record() {
        return writer.record();
    }

    /**
     * Tells whether this process is the decider of the group; the state dump contains this flag.
     */
    public boolean isDecider() {
        return decider;
    }

    @Override
    public List<CapacityCommand> handle(CapacityEvent event, Instant now) {
        boolean urgent = applyEvent(event, now);
        boolean mayAct =
                urgent
                        || event instanceof CapacityEvent.Tick
                        || event instanceof CapacityEvent.LoadTurnGranted;
        List<CapacityCommand> commands = new ArrayList<>();
        if (!mayAct) {
            return commands;
        }
        observeRecord(now);
        commands.addAll(tracker.removeClosed(standbyUse));
        if (decider && !writer.isApiDown() && !now.isBefore(nextCheck)) {
            nextCheck = now.plus(CHECK_PERIOD);
            checks.checkUnrecorded(now);
        }
        if (writer.isApiDown()) {
            standbyUse.fill(now);
            refuseDuringOutage();
        } else if (writer.mayWrite(now) && (urgent || !now.isBefore(nextDecision))) {
            nextDecision = now.plus(DECISION_PERIOD);
            decide(now, commands);
        }
        commands.addAll(writer.dueCommands(now));
        commands.addAll(tracker.sendDue(now));
        if (decider && (urgent || !now.isBefore(nextPublication))) {
            nextPublication = now.plus(DECISION_PERIOD);
            commands.addAll(publisher.changes(replicas));
        }
        return commands;
    }

    /**
     * Applies an event to the observations and returns whether decisions should be made
     * immediately.
     */
    private boolean applyEvent(CapacityEvent event, Instant now) {
        if (event instanceof CapacityEvent.Tick) {
            return onTick(now);
        } else if (event instanceof CapacityEvent.DemandReported reported) {
            return onDemandReported(reported, now);
        } else if (event instanceof CapacityEvent.ServerReported reported) {
            view.addReport(reported.report());
            checks.checkReport(reported.report());
            return false;
        } else if (event instanceof CapacityEvent.OrderEnded ended) {
            onOrderEnded(ended, now);
            return true;
        } else if (event instanceof CapacityEvent.LoadTurnGranted granted) {
            tracker.onTurnGranted(granted.operation(), granted.expiresAt());
            return false;
        } else if (event instanceof CapacityEvent.LoadTurnExpired expired) {
            tracker.onTurnExpired(expired.operation());
            return false;
        } else if (event instanceof CapacityEvent.ServersListed listed) {
            view.updateServers(listed.servers());
            return true;
        } else if (event instanceof CapacityEvent.ProcessesStopped stopped) {
            view.onProcessesStopped(stopped.stopped(), now);
            return false;
        } else if (event instanceof CapacityEvent.ConfigurationChanged changed) {
            view.configure(changed.configuration());
            configured = true;
            return true;
        } else {
            return applyRoleEvent(event, now) || applyObjectApiEvent(event, now);
        }
    }

    private boolean applyRoleEvent(CapacityEvent event, Instant now) {
        if (event instanceof CapacityEvent.BecameDecider) {
            decider = true;
            nextRead = now;
            nextStandby = now;
            writer.requestRead();
            publisher.reset();
            return true;
        }
        if (event instanceof CapacityEvent.StoppedBeingDecider) {
            decider = false;
            return true;
        }
        return false;
    }

    private boolean applyObjectApiEvent(CapacityEvent event, Instant now) {
        if (event instanceof CapacityEvent.RecordRead read) {
            trackOrders(writer.onRecordRead(read.record(), read.objectVersion(), now));
        } else if (event instanceof CapacityEvent.RecordReadFailed) {
            writer.onReadFailed(now);
        } else if (event instanceof CapacityEvent.WriteDone done) {
            trackOrders(writer.onWriteDone(done.operation(), done.newVersion()));
        } else if (event instanceof CapacityEvent.WriteConflict conflict) {
            writer.onWriteConflict(conflict.operation(), now);
        } else if (event instanceof CapacityEvent.WriteOutcomeUnknown unknown) {
            writer.onWriteOutcomeUnknown(unknown.operation(), now);
        } else if (event instanceof CapacityEvent.WriteNotDone notDone) {
            writer.onWriteNotDone(notDone.operation(), now);
        } else if (event instanceof CapacityEvent.ObjectApiDown) {
            writer.onApiDown();
        } else if (event instanceof CapacityEvent.ObjectApiUp) {
            writer.onApiUp(now);
        }
        return true;
    }

    private boolean onTick(Instant now) {
        view.onTick(now);
        failures.removeExpired(now);
        boolean involved = decider || hasOrdersOrStandbySlots();
        if (involved && !now.isBefore(nextRead)) {
            nextRead = now.plus(READ_PERIOD);
            writer.requestRead();
        }
        return false;
    }

    private boolean hasOrdersOrStandbySlots() {
        CapacityRecord record = writer.record();
        return record.standbySlots().stream().anyMatch(s -> s.holder().equals(settings.process()))
                || record.slots().stream()
                        .flatMap(slot -> slot.openOrders().stream())
                        .anyMatch(order -> order.process().equals(settings.process()));
    }

    private boolean onDemandReported(CapacityEvent.DemandReported reported, Instant now) {
        Demand demand = reported.demand();
        ArtifactId artifact = demand.artifact();
        view.updateDemand(reported.instance(), demand, now);
        if (demand.arrivals() > 0) {
            keepWarmPolicy.recordArrivals(artifact, demand.arrivals(), now);
        }
        return demand.waiting() > 0
                && replicas.refusal(artifact).isEmpty()
                && view.index(writer.record()).slotsOf(artifact).isEmpty();
    }

    private void onOrderEnded(CapacityEvent.OrderEnded ended, Instant now) {
        tracker.find(ended.operation())
                .ifPresent(
                        own -> {
                            Order order = own.order;
                            Slot.Key key = new Slot.Key(order.artifact(), order.server());
                            if (ended.outcome() == OrderOutcome.REFUSED_LEAVING) {
                                view.onLeavingRefusal(order.server(), now);
                            }
                            if (own.isLoad() && ended.outcome() == OrderOutcome.FAILED) {
                                failures.onLoadFailed(key, now);
                            }
                            if (own.isLoad() && ended.outcome() == OrderOutcome.DONE) {
                                failures.onLoadSucceeded(key);
                            }
                        });
        tracker.onOrderEnded(ended.operation(), ended.outcome(), now);
    }

    private void trackOrders(List<Order> orders) {
        observedRecord = null;
        orders.forEach(order -> tracker.add(order, false));
    }

    private void observeRecord(Instant now) {
        CapacityRecord record = writer.record();
        if (record != observedRecord) {
            observedRecord = record;
            view.observe(record, now);
            standbyUse.observe(record);
            checks.checkRecord(record);
        }
    }

    private void refuseDuringOutage() {
        for (ArtifactId artifact : view.artifactsInDemand()) {
            boolean loaded =
                    view.index(writer.record()).slotsOf(artifact).stream()
                            .anyMatch(slot -> slot.state().isLoadingOrReady());
            if (!loaded) {
                outageRefusal(artifact).ifPresent(refusal -> replicas.refuse(artifact, refusal));
            }
        }
    }

    private Optional<CapacityRefusal> outageRefusal(ArtifactId artifact) {
        Optional<StandbySlot> standby =
                writer.record()
                        .standbyOf(artifact)
                        .filter(s -> s.holder().equals(settings.process()));
        if (standby.isEmpty()) {
            return Optional.of(CapacityRefusal.OUTAGE);
        }
        Optional<ArtifactId> occupant = standbyUse.occupant(standby.get());
        return occupant.equals(Optional.of(artifact))
                ? Optional.empty()
                : Optional.of(CapacityRefusal.STANDBY_OCCUPIED);
    }

    private void decide(Instant now, List<CapacityCommand> commands) {
        Draft draft = new Draft(writer.record(), settings.process(), this::nextOperation, now);
        closing.apply(draft, decider);
        standbyUse.convert(draft);
        if (!decider) {
            standbySlots.release(draft);
        } else if (configured) {
            servers.apply(draft);
            standbySlots.prune(draft);
            replicas.apply(draft);
            unloads.apply(draft);
            if (!now.isBefore(nextStandby)) {
                nextStandby = now.plus(STANDBY_PERIOD);
                standbySlots.extend(draft);
            }
        }
        if (draft.isChanged()) {
            OperationId operation = nextOperation();
            CapacityRecord changed =
                    draft.record().withWrite(settings.process(), operation, draft.newRevision());
            commands.add(writer.startWrite(operation, changed, draft.orders(), now));
        }
    }

    private OperationId nextOperation() {
        operationCount++;
        return new OperationId(settings.process() + "-" + operationCount);
    }
}
