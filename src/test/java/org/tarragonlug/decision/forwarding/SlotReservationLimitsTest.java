package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ReservationId;
import org.tarragonlug.id.ServerId;

/** What changes between a call that asks for a slot and its answer, and limits on such calls. */
class SlotReservationLimitsTest {
    private static final ReservationId SLOT = new ReservationId("slot");
    private static final Duration SILENCE = Duration.ofMillis(1200);

    private ForwardingFixture fixture = new ForwardingFixture();
    private ForwardingCommand.Send first;

    private void begin(boolean started) {
        fixture.reservingSlots = true;
        fixture.withRoutes().withServer("one", ENGINES, "m").withServer("second", ENGINES, "m");
        first = find(fixture.arrive("/ask/1", "m"), ForwardingCommand.Send.class).orElseThrow();
        if (started) {
            fixture.handle(new ForwardingEvent.StreamStarted(first.attempt(), Optional.empty()));
            fixture.handle(new ForwardingEvent.EventRelayed(first.attempt(), 1));
        }
    }

    private ForwardingCommand.ReserveSlot awaitCall() {
        return find(fixture.advance(SILENCE), ForwardingCommand.ReserveSlot.class).orElseThrow();
    }

    private List<ForwardingCommand> reserve(ForwardingCommand.ReserveSlot call) {
        return fixture.handle(
                new ForwardingEvent.SlotReserved(
                        call.attempt(), call.server(), call.address(), SLOT));
    }

    private static long reservations(List<ForwardingCommand> commands) {
        return commands.stream().filter(ForwardingCommand.ReserveSlot.class::isInstance).count();
    }

    private int countReservedAtOnce(Duration time) {
        int calls = 0;
        for (int tick = 0; tick < time.toMillis() / 20; tick++) {
            for (ForwardingCommand command : fixture.advance(Duration.ofMillis(20))) {
                if (command instanceof ForwardingCommand.ReserveSlot call) {
                    calls++;
                    reserve(call);
                }
            }
        }
        return calls;
    }

    // Guards against a slot that is reserved and released at each tick while no retry is allowed.
    @Test
    void usedUpBudgetDoesNotReserveAtEachTick() {
        fixture = ForwardingFixture.withRetries(0);
        begin(true);
        int calls = countReservedAtOnce(Duration.ofMillis(2200));
        assertTrue(calls <= 7, calls + " calls in a second of silence");
    }

    // Guards against the same for a server that may only be used beyond its limit.
    @Test
    void limitedServerDoesNotReserveAtEachTick() {
        begin(true);
        ServerId otherId = new ServerId(first.server().value().equals("one") ? "second" : "one");
        FleetServer other = fixture.coordinator.fleet().server(otherId).orElseThrow();
        other.limit().begin(LimitCause.SLOW, fixture.now);
        other.onRequestSent();
        other.onRequestSent();
        other.onRequestSent();
        int calls = countReservedAtOnce(Duration.ofMillis(2200));
        assertTrue(calls <= 7, calls + " calls in a second of silence");
    }

    private void assertStays(ForwardingCommand.ReserveSlot call) {
        List<ForwardingCommand> commands = reserve(call);
        assertTrue(
                find(commands, ForwardingCommand.CancelAttempt.class).isEmpty(),
                commands::toString);
    }

    // Guards against a stream that is taken from its server for one that is gone.
    @Test
    void streamStaysIfTheOtherServerIsUnlistedMeanwhile() {
        begin(true);
        ForwardingCommand.ReserveSlot call = awaitCall();
        fixture.handle(new ForwardingEvent.ServerUnlisted(call.server()));
        assertStays(call);
    }

    private ServerListing restarted(ServerId id, String... models) {
        ServerListing old = fixture.listing(id.value(), ENGINES, models);
        return new ServerListing(
                id,
                ENGINES,
                old.address(),
                old.failureDomain(),
                8,
                ListedState.READY,
                2,
                old.models(),
                old.inMemory(),
                old.onDisk());
    }

    // Guards against a stream that is taken from its server for one that knows no reservation.
    @Test
    void streamStaysIfTheOtherServerIsRestartedMeanwhile() {
        begin(true);
        ForwardingCommand.ReserveSlot call = awaitCall();
        fixture.handle(new ForwardingEvent.ServerListed(restarted(call.server(), "m")));
        assertStays(call);
    }

    // Guards against a stream that is taken from its server for one that no longer has the model.
    @Test
    void streamStaysIfTheOtherServerHasUnloadedTheModelMeanwhile() {
        begin(true);
        ForwardingCommand.ReserveSlot call = awaitCall();
        fixture.withServer(call.server().value(), ENGINES);
        assertStays(call);
    }

    // Guards against a server that is never asked again after another run of it knew no such call.
    @Test
    void restartedServerIsAskedForSlotsAgain() {
        begin(true);
        ForwardingCommand.ReserveSlot call = awaitCall();
        fixture.handle(
                new ForwardingEvent.SlotNotReserved(call.attempt(), SlotRefusal.NOT_SUPPORTED));
        fixture.handle(new ForwardingEvent.CallerDisconnected(first.request()));
        fixture.handle(new ForwardingEvent.ServerListed(restarted(call.server(), "m")));
        assertTrue(fixture.coordinator.fleet().server(call.server()).orElseThrow().reservesSlots());
    }

    // Guards against a request that is refused because reservations, not sends, were refused.
    @Test
    void refusedReservationsDoNotTurnTheRequestAway() {
        begin(false);
        for (String id : List.of("third", "fourth", "the fifth", "the sixth.")) {
            fixture.withServer(id, ENGINES, "m");
        }
        int refused = 0;
        for (int tick = 0; tick < 150 && refused < 3; tick++) {
            for (ForwardingCommand command : fixture.advance(Duration.ofMillis(20))) {
                if (command instanceof ForwardingCommand.ReserveSlot call) {
                    refused++;
                    fixture.handle(
                            new ForwardingEvent.SlotNotReserved(
                                    call.attempt(), SlotRefusal.NO_ROOM));
                }
            }
        }
        assertEquals(3, refused);
        List<ForwardingCommand> commands =
                fixture.handle(
                        new ForwardingEvent.Rejected(
                                first.attempt(),
                                Rejection.BUSY,
                                Optional.of(new ReportedLoad(8, 16, 8))));
        assertTrue(find(commands, ForwardingCommand.Send.class).isPresent(), commands::toString);
    }

    // Guards against a request that stays for good at a silent server after one refusal.
    @Test
    void otherServerIsAskedOnceMoreForARequestThatHasNotBegun() {
        begin(false);
        ForwardingCommand.ReserveSlot call = awaitCall();
        fixture.handle(new ForwardingEvent.SlotNotReserved(call.attempt(), SlotRefusal.NO_ROOM));
        assertTrue(reservations(fixture.advance(Duration.ofSeconds(2))) > 0);
    }

    // Guards against a begun stream that ends, although the server with its model is only full for
    // a moment, because a further replica is expected late.
    @Test
    void begunStreamWaitsForAFullServerWhileAReplicaIsExpectedLate() {
        begin(true);
        fixture.handle(
                new ForwardingEvent.ModelReadyExpected(
                        ENGINES, ModelKey.parse("m"), fixture.now.plusSeconds(20)));
        List<ForwardingCommand> commands =
                fixture.handle(
                        new ForwardingEvent.ConnectionBroken(
                                first.attempt(), AnswerProgress.CONTENT));
        ForwardingCommand.Send second = find(commands, ForwardingCommand.Send.class).orElseThrow();
        commands =
                fixture.handle(
                        new ForwardingEvent.Rejected(
                                second.attempt(),
                                Rejection.BUSY,
                                Optional.of(new ReportedLoad(8, 16, 8))));
        assertTrue(find(commands, ForwardingCommand.Fail.class).isEmpty(), commands::toString);
    }

    // Guards against a rejected request that waits on when the queue closes, though it can be
    // refused at once.
    @Test
    void rejectedRequestIsRefusedOnceTheQueueIsClosed() {
        fixture.withRoutes().withServer("one", ENGINES, "m");
        first = find(fixture.arrive("/ask/1", "m"), ForwardingCommand.Send.class).orElseThrow();
        fixture.handle(new ForwardingEvent.ServerUnlisted(first.server()));
        fixture.handle(
                new ForwardingEvent.Rejected(first.attempt(), Rejection.BUSY, Optional.empty()));
        List<ForwardingCommand> commands = fixture.handle(new ForwardingEvent.QueueClosed());
        assertTrue(find(commands, ForwardingCommand.Refuse.class).isPresent(), commands::toString);
    }

    // Guards against a stream at an unlisted server, to which the request is not written, and which
    // then waits although its own server would go on.
    @Test
    void streamIsNotLostToAnUnlistedServer() {
        begin(true);
        ForwardingCommand.ReserveSlot call = awaitCall();
        fixture.handle(new ForwardingEvent.ServerUnlisted(call.server()));
        List<ForwardingCommand> commands = reserve(call);
        Optional<ForwardingCommand.Send> second = find(commands, ForwardingCommand.Send.class);
        assertTrue(
                second.isEmpty()
                        || fixture.coordinator.maySend(second.get().attempt(), fixture.now),
                "cancelled at its server for a send that must not be written");
    }
}
