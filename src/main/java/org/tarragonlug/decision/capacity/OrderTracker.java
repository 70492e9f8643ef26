package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ServerId;

/**
 * Sends the orders of this process and remembers their ends until they are closed in the record.
 *
 * <p>An order is sent when its condition holds: an adapter's base model is ready, a load from the
 * weight store has its turn, and no unload starts while the object API is down. An order without an
 * answer is repeated under the same operation id.
 */
final class OrderTracker {
    private static final Duration TURN_REPEAT_INTERVAL = Duration.ofSeconds(10);

    private final CapacitySettings settings;
    private final GroupView view;
    private final RecordWriter writer;
    private final Map<OperationId, OwnOrder> orders = new LinkedHashMap<>();

    OrderTracker(CapacitySettings settings, GroupView view, RecordWriter writer) {
        this.settings = settings;
        this.view = view;
        this.writer = writer;
    }

    OwnOrder add(Order order, boolean unrecorded) {
        OwnOrder own = new OwnOrder(order, unrecorded);
        orders.put(order.operation(), own);
        return own;
    }

    Optional<OwnOrder> find(OperationId operation) {
        return Optional.ofNullable(orders.get(operation));
    }

    /** Finds a load of this process that is under way on a server. */
    Optional<OwnOrder> findLoad(ArtifactId artifact, ServerId server) {
        return orders.values().stream()
                .filter(OwnOrder::isLoad)
                .filter(own -> own.order.artifact().equals(artifact))
                .filter(own -> own.order.server().equals(server))
                .findFirst();
    }

    void onOrderEnded(OperationId operation, OrderOutcome outcome, Instant now) {
        find(operation).ifPresent(own -> own.onEnded(outcome, now));
    }

    void onTurnGranted(OperationId operation, Instant until) {
        find(operation)
                .filter(own -> own.turn == OwnOrder.Turn.REQUESTED)
                .ifPresent(
                        own -> {
                            own.turn = OwnOrder.Turn.GRANTED;
                            own.turnTime = until;
                        });
    }

    void onTurnExpired(OperationId operation) {
        find(operation)
                .filter(own -> !own.inFlight)
                .ifPresent(own -> own.turn = OwnOrder.Turn.NOT_REQUESTED);
    }

    /** Forgets orders that are neither on their way nor open in the record. */
    List<CapacityCommand> removeClosed(StandbyUse standbyUse) {
        List<CapacityCommand> commands = new ArrayList<>();
        Iterator<OwnOrder> all = orders.values().iterator();
        while (all.hasNext()) {
            OwnOrder own = all.next();
            boolean needed = isOpen(own) || standbyUse.needs(own) || own.inFlight;
            if (!needed) {
                all.remove();
                if (own.turn != OwnOrder.Turn.NOT_REQUESTED) {
                    commands.add(new CapacityCommand.ReturnLoadTurn(own.order.operation()));
                }
            }
        }
        return commands;
    }

    /** Returns the commands that send what may be sent now. */
    List<CapacityCommand> sendDue(Instant now) {
        List<CapacityCommand> commands = new ArrayList<>();
        for (OwnOrder own : orders.values()) {
            if (isDue(own, now)) {
                sendOrRequestTurn(own, now, commands);
            }
        }
        return commands;
    }

    private void sendOrRequestTurn(OwnOrder own, Instant now, List<CapacityCommand> commands) {
        if (needsTurn(own)) {
            boolean lapsed =
                    own.turn == OwnOrder.Turn.GRANTED
                            ? now.isAfter(own.turnTime)
                            : own.turn == OwnOrder.Turn.REQUESTED
                                    && now.isAfter(own.turnTime.plus(TURN_REPEAT_INTERVAL));
            if (lapsed) {
                own.turn = OwnOrder.Turn.NOT_REQUESTED;
                commands.add(new CapacityCommand.ReturnLoadTurn(own.order.operation()));
            }
            if (own.turn == OwnOrder.Turn.NOT_REQUESTED) {
                commands.add(requestTurn(own, now));
            }
            if (own.turn != OwnOrder.Turn.GRANTED) {
                return;
            }
        }
        own.onSent(now);
        commands.add(new CapacityCommand.SendOrder(own.order));
    }

    private CapacityCommand requestTurn(OwnOrder own, Instant now) {
        own.turn = OwnOrder.Turn.REQUESTED;
        own.turnTime = now;
        GroupView.TotalDemand wanted = view.demand(own.order.artifact());
        return new CapacityCommand.RequestLoadTurn(
                own.order.operation(),
                own.order.artifact(),
                wanted.earliestDeadline(),
                wanted.waiting() == 0);
    }

    private boolean needsTurn(OwnOrder own) {
        return own.isLoad()
                && own.order.baseModel().isEmpty()
                && view.tier(own.order.server(), own.order.artifact()) == CacheTier.REMOTE;
    }

    private boolean isDue(OwnOrder own, Instant now) {
        boolean waits = !own.inFlight && !own.hasAnswer() || isUnloadToRepeat(own);
        if (!waits || now.isBefore(own.nextSend)) {
            return false;
        }
        if (own.unrecorded && !isOpen(own)) {
            return true;
        }
        if (!isOpen(own)) {
            return false;
        }
        return own.isLoad() ? mayLoad(own) : !writer.isApiDown();
    }

    private boolean isUnloadToRepeat(OwnOrder own) {
        return own.order.kind() == OrderKind.UNLOAD
                && own.hasAnswer()
                && own.outcome != OrderOutcome.DONE
                && own.outcome != OrderOutcome.REFUSED_OLD_FENCE;
    }

    private boolean mayLoad(OwnOrder own) {
        Slot slot = slotOf(own).orElseThrow();
        if (slot.state() != SlotState.LOADING) {
            return false;
        }
        if (own.order.baseModel().isEmpty()) {
            return true;
        }
        boolean baseReady =
                view.index(writer.record())
                        .slot(own.order.baseModel().get(), own.order.server())
                        .filter(base -> base.state() == SlotState.READY)
                        .isPresent();
        long adapterLoads =
                orders.values().stream()
                        .filter(o -> o.inFlight && o.isLoad())
                        .filter(o -> o.order.baseModel().isPresent())
                        .count();
        return baseReady && adapterLoads < settings.adapterLoadsInFlight();
    }

    private boolean isOpen(OwnOrder own) {
        return slotOf(own).flatMap(slot -> slot.order(own.order.operation())).isPresent();
    }

    private Optional<Slot> slotOf(OwnOrder own) {
        return view.index(writer.record()).slot(own.order.artifact(), own.order.server());
    }
}
