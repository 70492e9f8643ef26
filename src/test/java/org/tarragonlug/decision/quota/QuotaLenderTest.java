package org.tarragonlug.decision.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.account.QuotaUnit;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.InstanceId;

class QuotaLenderTest {
    private static final AccountName ACCOUNT = new AccountName("press");
    private static final InstanceId ONE = new InstanceId("entry-1");
    private static final InstanceId TWO = new InstanceId("entry-2");

    private final InstanceTotal total = new InstanceTotal();
    private final QuotaLender lender = new QuotaLender(Optional.empty(), total);
    private Instant now = Instant.ofEpochSecond(1000);

    private void install(double rate, double burst) {
        lender.onTableInstalled(Map.of(ACCOUNT, new Quota(QuotaUnit.REQUESTS, rate, burst, 1)));
    }

    private AllowanceNotice ask(InstanceId from, int waiting) {
        lender.onDemands(from, now);
        Map<AccountName, Integer> amounts = waiting == 0 ? Map.of() : Map.of(ACCOUNT, waiting);
        return lender.grantsFor(from, new AllowanceRequest(1, Map.of(), amounts, Map.of()), now);
    }

    private int granted(InstanceId from, int waiting) {
        return ask(from, waiting).granted().getOrDefault(ACCOUNT, 0);
    }

    private void report(int rounds, InstanceId... from) {
        for (int round = 0; round < rounds; round++) {
            now = now.plusMillis(400);
            for (InstanceId each : from) {
                ask(each, 0);
            }
        }
    }

    @Nested
    class Part {
        /** Guards against a lender that gives the whole while others may give as well. */
        @Test
        void ofRateAndBurstIsThatOfInstancesThatReport() {
            total.onCounted(2, true, now);
            install(100, 80);
            report(2, ONE);
            assertEquals(20, granted(ONE, 80));
            report(10, ONE);
            assertEquals(40, granted(ONE, 80));
            report(10, ONE, TWO);
            assertEquals(80, granted(ONE, 80));
        }

        /** Guards against a burst that a lender keeps for instances that have left it. */
        @Test
        void shrinksWhenInstancesLeave() {
            total.onCounted(2, true, now);
            install(100, 80);
            report(10, ONE, TWO);
            report(3, ONE);
            assertEquals(40, granted(ONE, 40));
            assertEquals(0, granted(ONE, 1));
        }

        /** Guards against messages that arrive late together and bring the time twice. */
        @Test
        void isNotIncreasedByPauseOfLender() {
            total.onCounted(1, true, now);
            install(100, 1000);
            report(1, ONE);
            report(2, ONE);
            now = now.plusSeconds(30);
            report(1, ONE);
            assertEquals(0, granted(ONE, 81));
        }
    }

    @Nested
    class Change {
        /** Guards against a burst of a quota that has been reduced. */
        @Test
        void ofQuotaReducesBucketAtOnce() {
            total.onCounted(1, true, now);
            install(100, 80);
            report(10, ONE);
            install(10, 8);
            assertEquals(8, granted(ONE, 9));
            assertEquals(0, granted(ONE, 1));
        }

        /** Guards against a new planner that gives what the previous one has given. */
        @Test
        void ofPlannerEmptiesBuckets() {
            total.onCounted(1, true, now);
            install(100, 80);
            report(10, ONE);
            lender.reset();
            assertEquals(0, granted(ONE, 1));
        }
    }

    /** Guards against parts of a request's cost that expire because the rest is not there. */
    @Test
    void smallNeedIsGivenWholeOrNotAtAll() {
        total.onCounted(1, true, now);
        install(100, 1000);
        report(2, ONE);
        assertEquals(0, granted(ONE, 41));
        assertEquals(40, granted(ONE, 40));
    }

    /** Guards against a Retry-After that ignores the other requests that wait. */
    @Test
    void waitCoversWhatAllInstancesMiss() {
        total.onCounted(2, true, now);
        install(100, 80);
        ask(ONE, 10);
        assertEquals(400, ask(TWO, 30).waitMillis().get(ACCOUNT));
    }

    @Nested
    class Count {
        /** Guards against two planners in a long partition that both give the whole. */
        @Test
        void staysWhileHolderOfLeaseIsNotHeard() {
            total.onCounted(95, true, now);
            for (int second = 0; second < 60; second++) {
                now = now.plusSeconds(1);
                total.onCounted(40, false, now);
            }
            assertEquals(95, total.current());
            total.onCounted(40, true, now.plus(Duration.ofSeconds(21)));
            assertEquals(40, total.current());
        }

        /** Guards against a planner that takes its own announcements for a confirmation. */
        @Test
        void shrinksAtPlannerThatBorrowsFromItself() {
            total.onCounted(95, true, now);
            for (int second = 0; second < 25; second++) {
                now = now.plusSeconds(1);
                total.onCounted(40, true, now);
                total.onAnnounced(total.current(), now);
            }
            assertEquals(40, total.current());
        }

        /** Guards against a process that has just started, alone, and gives the whole. */
        @Test
        void isNotKnownUntilAllHoldersAreHeard() {
            total.onCounted(3, false, now);
            assertEquals(0, total.current());
            total.onAnnounced(95, now);
            assertTrue(total.current() == 95);
        }
    }
}
