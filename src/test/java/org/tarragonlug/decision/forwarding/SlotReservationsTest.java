package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ReservationId;

/** Requests at silent model servers, for which other servers reserve slots. */
class SlotReservationsTest {
    private static final ReservationId SLOT = new ReservationId("slot");
    private static final Duration SILENCE = Duration.ofMillis(1200);

    private final ForwardingFixture fixture = new ForwardingFixture().withRoutes();
    private ForwardingCommand.Send first;

    @BeforeEach
    void startServers() {
        fixture.reservingSlots = true;
        fixture.withServer("one", ENGINES, "m").withServer("second", ENGINES, "m");
    }

    private void beginStream() {
        first = find(fixture.arrive("/ask/1", "m"), ForwardingCommand.Send.class).orElseThrow();
        fixture.handle(new ForwardingEvent.StreamStarted(first.attempt(), Optional.empty()));
        relayEvent(1);
    }

    private List<ForwardingCommand> relayEvent(long id) {
        return fixture.handle(new ForwardingEvent.EventRelayed(first.attempt(), id));
    }

    private ForwardingCommand.ReserveSlot awaitCall() {
        List<ForwardingCommand> commands = fixture.advance(SILENCE);
        assertTrue(find(commands, ForwardingCommand.CancelAttempt.class).isEmpty());
        assertTrue(find(commands, ForwardingCommand.Send.class).isEmpty());
        return find(commands, ForwardingCommand.ReserveSlot.class).orElseThrow();
    }

    private List<ForwardingCommand> reserve(ForwardingCommand.ReserveSlot call) {
        return fixture.handle(
                new ForwardingEvent.SlotReserved(
                        call.attempt(), call.server(), call.address(), SLOT));
    }

    private List<ForwardingCommand> refuse(
            ForwardingCommand.ReserveSlot call, SlotRefusal refusal) {
        return fixture.handle(new ForwardingEvent.SlotNotReserved(call.attempt(), refusal));
    }

    private static void assertReleased(
            ForwardingCommand.ReserveSlot call, List<ForwardingCommand> commands) {
        assertEquals(
                List.of(new ForwardingCommand.ReleaseSlot(call.server(), call.address(), SLOT)),
                commands);
    }

    /** The other server reserves a slot. */
    @Nested
    class Reserved {
        // Guards against a stream that two servers work on, and against one that is given up before
        // another server has room for it.
        @Test
        void streamIsCancelledBeforeItIsSentToTheSlot() {
            beginStream();
            ForwardingCommand.ReserveSlot call = awaitCall();
            assertNotEquals(first.server(), call.server());
            List<ForwardingCommand> commands = reserve(call);
            ForwardingCommand.Send second =
                    find(commands, ForwardingCommand.Send.class).orElseThrow();
            ForwardingCommand cancel =
                    new ForwardingCommand.CancelAttempt(
                            first.attempt(), CancelReason.SLOT_RESERVED);
            assertTrue(commands.indexOf(cancel) >= 0, commands::toString);
            assertTrue(commands.indexOf(cancel) < commands.indexOf(second), commands::toString);
            assertEquals(Optional.of(SLOT), second.reservation());
            assertEquals(call.server(), second.server());
            assertEquals(1, second.lastEventId());
        }

        // Guards against a stream that is taken from its server although that has gone on, and
        // against a slot that stays reserved for nothing.
        @Test
        void slotIsReleasedIfTheServerHasGoneOn() {
            beginStream();
            ForwardingCommand.ReserveSlot call = awaitCall();
            relayEvent(2);
            assertReleased(call, reserve(call));
            assertTrue(fixture.coordinator.isPrimary(first.attempt()));
        }

        @Test
        void slotIsReleasedIfTheRequestHasEnded() {
            beginStream();
            ForwardingCommand.ReserveSlot call = awaitCall();
            fixture.handle(new ForwardingEvent.CallerDisconnected(first.request()));
            assertReleased(call, reserve(call));
        }

        // Guards against a second use of one reservation.
        @Test
        void secondAnswerIsReleased() {
            beginStream();
            ForwardingCommand.ReserveSlot call = awaitCall();
            reserve(call);
            assertReleased(call, reserve(call));
        }

        // Guards against a slot that is used for a request whose server has broken off meanwhile,
        // and which has gone to another server.
        @Test
        void slotIsReleasedIfTheServerHasBrokenOff() {
            beginStream();
            ForwardingCommand.ReserveSlot call = awaitCall();
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.ConnectionBroken(
                                    first.attempt(), AnswerProgress.CONTENT));
            assertTrue(find(commands, ForwardingCommand.Send.class).isPresent());
            assertReleased(call, reserve(call));
        }
    }

    /** The other server reserves no slot. */
    @Nested
    class Refused {
        // Guards against a stream that ends because the other server has no room, and against many
        // calls in the time that its server is silent.
        @Test
        void streamStaysAtItsServer() {
            beginStream();
            ForwardingCommand.ReserveSlot call = awaitCall();
            assertEquals(List.of(), refuse(call, SlotRefusal.NO_ROOM));
            List<ForwardingCommand> commands = fixture.advance(Duration.ofMillis(100));
            assertEquals(List.of(), commands);
            assertTrue(fixture.coordinator.isPrimary(first.attempt()));
            commands = fixture.advance(Duration.ofMillis(500));
            assertEquals(
                    1,
                    commands.stream()
                            .filter(ForwardingCommand.ReserveSlot.class::isInstance)
                            .count());
        }

        // Guards against a stream at a server that is silent for good where no server reserves.
        @Test
        void serverThatReservesNoSlotsGetsTheRequestItself() {
            beginStream();
            List<ForwardingCommand> commands = refuse(awaitCall(), SlotRefusal.NOT_SUPPORTED);
            ForwardingCommand.Send second =
                    find(commands, ForwardingCommand.Send.class).orElseThrow();
            assertEquals(Optional.empty(), second.reservation());
            assertTrue(fixture.coordinator.isPrimary(first.attempt()));
        }

        // Guards against an answer that never comes and keeps a stream from all other servers.
        @Test
        void brokenServerLeavesTheStreamToOthers() {
            beginStream();
            ForwardingCommand.ReserveSlot call = awaitCall();
            List<ForwardingCommand> commands =
                    new ArrayList<>(
                            fixture.handle(
                                    new ForwardingEvent.ConnectionBroken(
                                            first.attempt(), AnswerProgress.CONTENT)));
            assertTrue(find(commands, ForwardingCommand.Send.class).isPresent());
            assertEquals(List.of(), refuse(call, SlotRefusal.NO_ROOM));
        }
    }

    /** Requests for which no slots are reserved. */
    @Nested
    class WithoutReservation {
        // Guards against a reserved slot for a request that may not be sent again.
        @Test
        void streamThatRunsOnceStaysAtItsServer() {
            first =
                    find(fixture.arrive("/score/1", "m"), ForwardingCommand.Send.class)
                            .orElseThrow();
            fixture.handle(new ForwardingEvent.StreamStarted(first.attempt(), Optional.empty()));
            assertEquals(List.of(), fixture.advance(SILENCE.multipliedBy(2)));
        }

        @Test
        void plainServiceGetsTheRequestItself() {
            fixture.withServer("three", RECORDS).withServer("fourth", RECORDS);
            fixture.arrive("/read/1", "");
            List<ForwardingCommand> commands = fixture.advance(SILENCE);
            assertTrue(find(commands, ForwardingCommand.Send.class).isPresent());
            assertTrue(find(commands, ForwardingCommand.ReserveSlot.class).isEmpty());
        }
    }
}
