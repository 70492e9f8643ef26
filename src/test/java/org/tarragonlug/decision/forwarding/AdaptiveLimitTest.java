package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The limit of one server, by the pattern of its answers. */
class AdaptiveLimitTest {
    private static final int SLOTS = 16;
    private static final int FIRST = SLOTS / 4;
    private static final Instant START = Instant.ofEpochSecond(1000);
    private static final Duration STEP = Duration.ofMillis(50);

    private final AdaptiveLimit limit = new AdaptiveLimit(0, SLOTS);
    private Instant now = START;

    /** Requests that the only instance has at the server, which fill the limit. */
    private int room() {
        int room = 0;
        while (room < 10 * SLOTS && limit.hasRoom(room, 1, now)) {
            room++;
        }
        return room;
    }

    /** Lets the server answer one request per step in a multiple of the usual time. */
    private void answer(double relativeTime, Duration time) {
        for (Instant end = now.plus(time); now.isBefore(end); ) {
            now = now.plus(STEP);
            limit.recordAnswer(relativeTime, now);
            limit.advance(room(), 1, 0, now);
        }
    }

    private void pass(Duration time, int others, double usual) {
        for (Instant end = now.plus(time); now.isBefore(end); ) {
            now = now.plus(STEP);
            limit.recordOthers(others, now);
            limit.advance(0, 300, usual, now);
        }
    }

    private boolean isLimited() {
        return limit.cause(now).isPresent();
    }

    // Guards against many instances that each begin with a full first step: the requests of all
    // instances at a server that restarts under load then exceed its slots at once.
    @ParameterizedTest
    @ValueSource(ints = {8, 71, 300})
    void firstStepHoldsOverAllInstances(int instances) {
        int admitted = 0;
        for (int number = 0; number < instances; number++) {
            AdaptiveLimit each = new AdaptiveLimit((number + 0.5) / instances, SLOTS);
            each.begin(LimitCause.START, START);
            admitted += admittedBy(each, instances);
        }
        assertEquals(FIRST, admitted);
    }

    private static int admittedBy(AdaptiveLimit each, int instances) {
        int count = 0;
        while (each.hasRoom(count, instances, START)) {
            count++;
        }
        return count;
    }

    // Guards against a server with a full queue at the end of its pause, when all callers that
    // waited for it come at once.
    @Test
    void limitDoublesForASecondAfterAPause() {
        limit.begin(LimitCause.PAUSE, START);
        List<Integer> rooms = new ArrayList<>();
        for (int round = 0; round < 4; round++) {
            rooms.add(room());
            now = now.plusMillis(250);
            limit.advance(room(), 1, 0, now);
        }
        assertEquals(List.of(FIRST, 2 * FIRST, 4 * FIRST, 8 * FIRST), rooms);
        assertFalse(isLimited());
    }

    // Guards against a limit that keeps requests away from a server that is as fast as others.
    @Test
    void serverThatIsFastAtOnceIsFullyUsedWithinASecond() {
        limit.begin(LimitCause.START, START);
        answer(1, Duration.ofMillis(500));
        assertTrue(room() >= SLOTS, "room: " + room());
        answer(1, Duration.ofMillis(600));
        assertFalse(isLimited());
    }

    // Guards against a server that reads weights or fills caches after its start and gets as many
    // requests as the others, of which each takes several times as long.
    @Test
    void serverThatIsSlowAtFirstKeepsALowLimitUntilItIsFast() {
        limit.begin(LimitCause.START, START);
        answer(6, Duration.ofSeconds(1));
        int highest = 0;
        for (int step = 0; step < 60; step++) {
            answer(6, STEP);
            highest = Math.max(highest, room());
        }
        assertTrue(highest <= FIRST, "highest: " + highest);
        answer(1, Duration.ofSeconds(3));
        assertFalse(isLimited());
    }

    // Guards against a slow machine that is hardly used for ever.
    @Test
    void serverThatStaysSlowIsUsedInTheEnd() {
        limit.begin(LimitCause.START, START);
        answer(6, Duration.ofSeconds(25));
        assertFalse(isLimited());
    }

    // Guards against growth while a server rejects or loses requests.
    @Test
    void rejectionsHalveTheLimit() {
        limit.begin(LimitCause.START, START);
        answer(1, Duration.ofMillis(500));
        int before = room();
        limit.recordFailure(now);
        now = now.plusMillis(250);
        limit.advance(before, 1, 0, now);
        assertEquals(before / 2, room());
    }

    // Guards against a server that fails again and again and meets the whole load each time.
    @Test
    void serverThatFailsAgainWaitsLongerAndStartsLowAgain() {
        List<Long> waits = new ArrayList<>();
        for (int failure = 0; failure < 4; failure++) {
            limit.block(now);
            Instant failedAt = now;
            while (limit.isBlocked(now)) {
                now = now.plusMillis(100);
            }
            waits.add(Duration.between(failedAt, now).toMillis());
            assertEquals(FIRST, room());
        }
        assertEquals(List.of(700L, 1400L, 2800L, 2800L), waits);
    }

    // Guards against a planner that takes a lost server for a sound one, because most instances
    // have no share of its limit, do not try to connect and so do not report that they cannot.
    @Test
    void eachInstanceTriesOnceAfterAFailedConnection() {
        limit.block(now);
        now = now.plusMillis(700);
        assertTrue(limit.hasRoom(0, 300, now));
        assertFalse(limit.hasRoom(1, 300, now));
        limit.unblock(now);
        assertFalse(limit.hasRoom(0, 300, now));
    }

    // Guards against a pause that ends early for requests because a connection failed in it.
    @Test
    void failedConnectionInAPauseLeavesTheLimitAfterIt() {
        Instant end = START.plusSeconds(5);
        limit.begin(LimitCause.PAUSE, end);
        limit.block(now);
        now = now.plusMillis(100);
        limit.unblock(now);
        pass(Duration.between(now, end), 0, 0);
        assertEquals(FIRST, room());
    }

    // Guards against an instance whose connection failed once and that never returns to a server
    // which all others use, because its share of the limit is less than one request.
    @Test
    void limitEndsWhenOthersUseTheServerAsUsual() {
        limit.block(now);
        now = now.plusMillis(700);
        pass(Duration.ofMillis(1200), 10, 10);
        assertFalse(isLimited());
    }

    // Guards against a server that is left idle when the only instance with requests for it is not
    // among those that may send one at first.
    @Test
    void limitGrowsWhileNobodyUsesIt() {
        limit.begin(LimitCause.START, START);
        pass(Duration.ofSeconds(5), 0, 10);
        assertFalse(isLimited());
    }

    // Guards against instances without answers that raise the limit of a slow server faster than
    // those which have answers.
    @Test
    void instanceWithoutAnswersGrowsSlowlyWhileTheLimitIsUsed() {
        limit.begin(LimitCause.START, START);
        pass(Duration.ofMillis(1900), FIRST, 10);
        assertEquals(FIRST, limit.limit(START.plusMillis(1900)));
    }

    // Guards against an instance that lags behind when those with answers have raised the limit.
    @Test
    void instanceWithoutAnswersFollowsTheTotals() {
        limit.begin(LimitCause.START, START);
        pass(Duration.ofMillis(200), 11, 40);
        assertEquals(11, limit.limit(START.plusMillis(200)));
    }
}
