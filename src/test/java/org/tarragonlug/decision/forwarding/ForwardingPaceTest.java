package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ServerId;

/** The paces that the coordinator takes from the answers of servers. */
class ForwardingPaceTest {
    private static final Optional<ReportedLoad> SLOW = Optional.of(new ReportedLoad(1, 0, 8, 250));

    private final ForwardingFixture fixture = new ForwardingFixture().withRoutes();

    private ServerPace pace(String server) {
        return fixture.coordinator.fleet().server(new ServerId(server)).orElseThrow().pace();
    }

    /** Plays a stream of ten events of the server to which the next request is sent. */
    private void playStream(Duration betweenEvents, Optional<ReportedLoad> load) {
        fixture.arrive("/ask/1", "m");
        long key = fixture.lastKey();
        fixture.handle(new ForwardingEvent.StreamStarted(fixture.attempt(key), load));
        for (int event = 1; event <= 10; event++) {
            fixture.now = fixture.now.plus(betweenEvents);
            fixture.handle(new ForwardingEvent.EventRelayed(fixture.attempt(key), event));
        }
        fixture.handle(new ForwardingEvent.Answered(fixture.attempt(key), 200, load));
    }

    // Guards against the load at the end of a stream, which repeats that of the head, being taken
    // for a new statement.
    @Test
    void endOfStreamDoesNotRenewTheStatement() {
        fixture.withServer("one", ForwardingFixture.ENGINES, "m");
        playStream(Duration.ofMillis(100), SLOW);
        assertEquals(1, pace("one").stated(fixture.now));
    }

    // Guards against a pace that a rejection states and that is lost.
    @Test
    void rejectionStatesThePace() {
        fixture.withServer("one", ForwardingFixture.ENGINES, "m");
        fixture.arrive("/ask/1", "m");
        fixture.handle(
                new ForwardingEvent.Rejected(
                        fixture.attempt(fixture.lastKey()), Rejection.BUSY, SLOW));
        assertEquals(2.5, pace("one").stated(fixture.now));
    }

    // Guards against the pace of another server at the address, which rejected the request.
    @Test
    void rejectionOfAnotherServerStatesNothing() {
        fixture.withServer("one", ForwardingFixture.ENGINES, "m");
        fixture.arrive("/ask/1", "m");
        fixture.handle(
                new ForwardingEvent.Rejected(
                        fixture.attempt(fixture.lastKey()), Rejection.WRONG_SERVER, SLOW));
        assertEquals(1, pace("one").stated(fixture.now));
    }

    // Guards against a server whose events come slowly and that is not told from the others.
    @Test
    void timeBetweenEventsIsLearnt() {
        fixture.withServer("one", ForwardingFixture.ENGINES, "m");
        for (int stream = 0; stream < 30; stream++) {
            playStream(Duration.ofMillis(20), Optional.empty());
        }
        fixture.withServer("two", ForwardingFixture.ENGINES, "m");
        fixture.handle(new ForwardingEvent.ServerUnlisted(new ServerId("one")));
        for (int stream = 0; stream < 6; stream++) {
            playStream(Duration.ofMillis(40), Optional.empty());
        }
        assertTrue(pace("two").learnt(fixture.now) > 1.5);
    }

    // Guards against a pace learnt from answers of servers that fail quickly.
    @Test
    void failedAnswersAreNotLearnt() {
        fixture.withServer("one", ForwardingFixture.RECORDS);
        for (int number = 0; number < 40; number++) {
            fixture.arrive("/issue/1", "");
            long key = fixture.lastKey();
            int status = number < 30 ? 200 : 404;
            fixture.now = fixture.now.plusMillis(status == 200 ? 20 : 1);
            fixture.handle(
                    new ForwardingEvent.Answered(fixture.attempt(key), status, Optional.empty()));
        }
        assertEquals(1, pace("one").learnt(fixture.now), 0.1);
    }
}
