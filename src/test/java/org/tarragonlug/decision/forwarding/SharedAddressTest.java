package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Two servers that are listed at one address. */
class SharedAddressTest {
    private static final ReportedLoad REPORTED = new ReportedLoad(8, 4, 8);

    private static ForwardingCommand.Send send(List<ForwardingCommand> commands) {
        return commands.stream()
                .filter(ForwardingCommand.Send.class::isInstance)
                .map(ForwardingCommand.Send.class::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no send in " + commands));
    }

    // Guards against a kept connection that is used although one to the same address was just lost.
    @Test
    void newConnectionIsForcedByAddress() {
        ForwardingFixture fixture =
                new ForwardingFixture()
                        .withRoutes()
                        .withServer("a", ForwardingFixture.RECORDS)
                        .withServer("b", ForwardingFixture.RECORDS);
        ForwardingCommand.Send first = send(fixture.arrive("/issue/1", ""));
        List<ForwardingCommand> commands =
                new ArrayList<>(
                        fixture.handle(
                                new ForwardingEvent.Rejected(
                                        first.attempt(), Rejection.UNREACHABLE, Optional.empty())));
        commands.addAll(fixture.advance(Duration.ofMillis(100)));
        ForwardingCommand.Send second = send(commands);
        assertEquals(first.address(), second.address());
        assertTrue(!first.server().equals(second.server()));
        assertTrue(second.newConnection(), "kept connection to " + second.address());
    }

    // Guards against the load of another server that is recorded for the one that was meant.
    @Test
    void loadOfAnotherServerDoesNotCount() {
        ForwardingFixture fixture =
                new ForwardingFixture().withRoutes().withServer("a", ForwardingFixture.RECORDS);
        ForwardingCommand.Send first = send(fixture.arrive("/issue/1", ""));
        FleetServer server =
                fixture.coordinator.fleet().servers().stream().findFirst().orElseThrow();
        fixture.handle(
                new ForwardingEvent.Rejected(
                        first.attempt(), Rejection.WRONG_SERVER, Optional.of(REPORTED)));
        assertEquals(0, server.load(fixture.now));
    }

    // Guards against a server that gets no requests for a while because one request could not be
    // sent to it again: it accepts no further connection, but the kept ones work.
    @Test
    void serverWithoutRoomForAnotherConnectionStaysAvailable() {
        ForwardingFixture fixture =
                new ForwardingFixture().withRoutes().withServer("a", ForwardingFixture.RECORDS);
        ForwardingCommand.Send first = send(fixture.arrive("/issue/1", ""));
        List<ForwardingCommand> commands =
                fixture.handle(
                        new ForwardingEvent.Rejected(
                                first.attempt(), Rejection.NO_OTHER_CONNECTION, Optional.empty()));
        assertTrue(commands.stream().anyMatch(ForwardingCommand.Refuse.class::isInstance));
        assertEquals(first.server(), send(fixture.arrive("/issue/2", "")).server());
    }
}
