package org.tarragonlug.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/**
 * A load order that is delivered late may be executed after an unload. Guards against removing a
 * slot, and thereby freeing its memory, while the engine may have executed a load order last.
 */
class OrderClosingTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final ProcessId SELF = new ProcessId("self");
    private static final ProcessId OTHER = new ProcessId("other");
    private static final ServerId SERVER = new ServerId("s1");
    private static final ArtifactId MODEL = new ArtifactId("model", "1");

    private final CapacitySettings settings =
            new CapacitySettings(new ServerGroup("flight"), SELF, 30, 32);
    private final GroupView view = new GroupView(settings);
    private final OrderTracker tracker =
            new OrderTracker(settings, view, new RecordWriter(settings, new Random(1)));
    private final OrderClosing closing = new OrderClosing(view, tracker);

    private static OpenOrder openOrder(String operation, ProcessId process, OrderKind kind) {
        return new OpenOrder(new OperationId(operation), process, kind, NOW);
    }

    private void addEndedOrder(String operation, OrderKind kind, OrderOutcome outcome) {
        Order order =
                new Order(
                        new OperationId(operation),
                        kind,
                        SERVER,
                        MODEL,
                        Optional.empty(),
                        10,
                        new FencingToken(1));
        OwnOrder own = tracker.add(order, false);
        own.onSent(NOW);
        own.onEnded(outcome, NOW);
    }

    private Optional<Slot> slotAfterClosing(FencingKind fencing, Instant now, OpenOrder... orders) {
        view.updateServers(
                List.of(new ListedServer(SERVER, new FailureDomain("d"), false, fencing)));
        Slot slot =
                new Slot(
                        MODEL,
                        Optional.empty(),
                        SERVER,
                        10,
                        SlotState.UNLOADING,
                        new FencingToken(2),
                        List.of(orders));
        CapacityRecord record =
                CapacityRecord.empty(settings.group())
                        .withServer(new ServerEntry(SERVER, 100, ServerState.ACTIVE))
                        .withNewSlot(slot, 1);
        Draft draft = new Draft(record, SELF, () -> new OperationId("new"), now);
        closing.apply(draft, true);
        return draft.record().slot(MODEL, SERVER);
    }

    @Test
    void closingLoadRemovesOpenUnloadOrderWhenFencingTokensAreIgnored() {
        addEndedOrder("load", OrderKind.LOAD, OrderOutcome.DONE);
        Slot slot =
                slotAfterClosing(
                                FencingKind.IGNORED,
                                NOW,
                                openOrder("load", SELF, OrderKind.LOAD),
                                openOrder("unload", OTHER, OrderKind.UNLOAD))
                        .orElseThrow();
        assertEquals(SlotState.UNSETTLED, slot.state());
        assertEquals(List.of(), slot.openOrders());
    }

    @Test
    void confirmedUnloadRemovesSlotDespiteOpenLoadOnlyWhenFencingTokensAreChecked() {
        addEndedOrder("unload", OrderKind.UNLOAD, OrderOutcome.DONE);
        OpenOrder load = openOrder("load", OTHER, OrderKind.LOAD);
        OpenOrder unload = openOrder("unload", SELF, OrderKind.UNLOAD);
        assertEquals(Optional.empty(), slotAfterClosing(FencingKind.CHECKED, NOW, load, unload));
        assertEquals(
                SlotState.UNSETTLED,
                slotAfterClosing(FencingKind.IGNORED, NOW, load, unload).orElseThrow().state());
    }

    @Test
    void closesOrdersOfStoppedProcessAfterLateDeliveryLimit() {
        view.onProcessesStopped(Set.of(OTHER), NOW);
        OpenOrder load = openOrder("load", OTHER, OrderKind.LOAD);
        Instant early = NOW.plus(OwnOrder.LATE_DELIVERY_LIMIT).minusMillis(1);
        assertEquals(
                1,
                slotAfterClosing(FencingKind.IGNORED, early, load)
                        .orElseThrow()
                        .openOrders()
                        .size());
        Instant late = NOW.plus(OwnOrder.LATE_DELIVERY_LIMIT);
        assertEquals(
                0,
                slotAfterClosing(FencingKind.IGNORED, late, load)
                        .orElseThrow()
                        .openOrders()
                        .size());
    }

    @Test
    void keepsUnansweredLoadOpenUntilLateDeliveryLimitHasPassed() {
        addEndedOrder("load", OrderKind.LOAD, OrderOutcome.UNKNOWN);
        tracker.find(new OperationId("load")).orElseThrow().onEnded(OrderOutcome.DONE, NOW);
        OpenOrder load = openOrder("load", SELF, OrderKind.LOAD);
        Instant early = NOW.plus(OwnOrder.LATE_DELIVERY_LIMIT).minusMillis(1);
        assertEquals(
                1,
                slotAfterClosing(FencingKind.IGNORED, early, load)
                        .orElseThrow()
                        .openOrders()
                        .size());
    }
}
