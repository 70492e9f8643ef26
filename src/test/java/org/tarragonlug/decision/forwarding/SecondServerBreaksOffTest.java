package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ReservationId;

/** Streams whose second server takes them over and then breaks off. */
class SecondServerBreaksOffTest {
    private static final ReservationId SLOT = new ReservationId("slot");
    private static final Duration SILENCE = Duration.ofMillis(1200);

    private final ForwardingFixture fixture = new ForwardingFixture();

    private void begin() {
        fixture.reservingSlots = true;
        fixture.withRoutes().withServer("one", ENGINES, "m").withServer("second", ENGINES, "m");
        ForwardingCommand.Send first =
                find(fixture.arrive("/ask/1", "m"), ForwardingCommand.Send.class).orElseThrow();
        fixture.handle(new ForwardingEvent.StreamStarted(first.attempt(), Optional.empty()));
        fixture.handle(new ForwardingEvent.EventRelayed(first.attempt(), 1));
    }

    private ForwardingCommand.ReserveSlot awaitCall() {
        return find(fixture.advance(SILENCE), ForwardingCommand.ReserveSlot.class).orElseThrow();
    }

    private List<ForwardingCommand> reserve(ForwardingCommand.ReserveSlot call) {
        return fixture.handle(
                new ForwardingEvent.SlotReserved(
                        call.attempt(), call.server(), call.address(), SLOT));
    }

    // Guards against a stream that is lost to a server that has reserved a slot and then breaks
    // off.
    @Test
    void streamSurvivesAReservedSlotWhoseServerBreaksOff() {
        begin();
        List<ForwardingCommand> moved = reserve(awaitCall());
        ForwardingCommand.Send second = find(moved, ForwardingCommand.Send.class).orElseThrow();
        List<ForwardingCommand> commands =
                fixture.handle(
                        new ForwardingEvent.ConnectionBroken(
                                second.attempt(), AnswerProgress.NOTHING));
        assertTrue(find(commands, ForwardingCommand.Fail.class).isEmpty(), commands::toString);
    }

    // Guards against a stream that is lost to a second server that begins its answer and breaks
    // off, while the first server would go on.
    @Test
    void streamSurvivesABackupThatBreaksOffAfterItsHead() {
        begin();
        List<ForwardingCommand> commands =
                fixture.handle(
                        new ForwardingEvent.SlotNotReserved(
                                awaitCall().attempt(), SlotRefusal.NOT_SUPPORTED));
        ForwardingCommand.Send second = find(commands, ForwardingCommand.Send.class).orElseThrow();
        fixture.handle(new ForwardingEvent.StreamStarted(second.attempt(), Optional.empty()));
        commands =
                fixture.handle(
                        new ForwardingEvent.ConnectionBroken(
                                second.attempt(), AnswerProgress.HEAD));
        assertTrue(find(commands, ForwardingCommand.Fail.class).isEmpty(), commands::toString);
    }
}
