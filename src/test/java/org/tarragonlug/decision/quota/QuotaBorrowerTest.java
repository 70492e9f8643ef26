package org.tarragonlug.decision.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.account.QuotaUnit;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.InstanceId;

class QuotaBorrowerTest {
    private static final AccountName ACCOUNT = new AccountName("press");
    private static final InstanceId LENDER = new InstanceId("entry-1");
    private static final InstanceId OTHER = new InstanceId("entry-2");
    private static final Quota QUOTA = new Quota(QuotaUnit.REQUESTS, 100, 100, 1);

    /** Leaves 1,000 - 156 = 844 + 90 units to be advanced, 93 for each of 10 instances. */
    private static final QuotaTolerance TOLERANCE =
            new QuotaTolerance(Duration.ofSeconds(8), 0.1, 1000);

    private Instant now = Instant.ofEpochSecond(1000);
    private QuotaBorrower borrower = create(Optional.of(TOLERANCE));

    private QuotaBorrower create(Optional<QuotaTolerance> tolerance) {
        QuotaBorrower created = new QuotaBorrower(tolerance, new InstanceTotal(), 7);
        created.onTableInstalled(Map.of(ACCOUNT, QUOTA), now);
        created.onLenders(Set.of(LENDER), now);
        return created;
    }

    private void advance(long millis) {
        for (long left = millis; left > 0; left -= 100) {
            now = now.plusMillis(Math.min(100, left));
            borrower.onTick(now);
        }
    }

    private AllowanceRequest ask() {
        return borrower.demands(now).orElseThrow();
    }

    private boolean grant(InstanceId from, long number, int amount) {
        Map<AccountName, Integer> granted = amount == 0 ? Map.of() : Map.of(ACCOUNT, amount);
        return borrower.onGrants(from, new AllowanceNotice(number, 10, granted, Map.of()), now);
    }

    private TakeResult take(long cost) {
        return borrower.take(ACCOUNT, cost, now);
    }

    private void assertTaken(long cost) {
        assertInstanceOf(TakeResult.Taken.class, take(cost));
    }

    private void startUp() {
        advance(900);
        grant(LENDER, ask().number(), 0);
    }

    /** Lets the time pass after which an instance that has started may advance. */
    private void startUpForAdvances() {
        for (int step = 0; step < 30; step++) {
            startUp();
        }
    }

    @Nested
    class Grants {
        /** Guards against allowance spent after its lifetime, also in a process that was paused. */
        @Test
        void expireOnOwnClockFromSendingOfRequest() {
            startUp();
            long number = ask().number();
            advance(500);
            assertTrue(grant(LENDER, number, 50));
            assertTaken(10);
            advance(100);
            assertInstanceOf(TakeResult.Wait.class, take(10));
        }

        /** Guards against the answer to a request of an earlier process, and against repeats. */
        @Test
        void countOnceAndOnlyForOwnRequests() {
            startUp();
            long number = ask().number();
            assertFalse(grant(LENDER, number + 1, 50));
            assertFalse(grant(OTHER, number, 50));
            assertTrue(grant(LENDER, number, 50));
            assertFalse(grant(LENDER, number, 50));
            assertTaken(50);
            assertInstanceOf(TakeResult.Wait.class, take(1));
        }

        /** Guards against a cost that is returned twice, or after its grant has expired. */
        @Test
        void returnedCostCountsOnceUntilGrantExpires() {
            startUp();
            grant(LENDER, ask().number(), 50);
            QuotaCharge charge = ((TakeResult.Taken) take(50)).charge();
            borrower.giveBack(charge, now);
            borrower.giveBack(charge, now);
            QuotaCharge again = ((TakeResult.Taken) take(50)).charge();
            assertInstanceOf(TakeResult.Wait.class, take(1));
            advance(700);
            borrower.giveBack(again, now);
            assertInstanceOf(TakeResult.Wait.class, take(1));
        }
    }

    @Nested
    class Advances {
        /** Guards against a restarted process that spends its predecessor's share again. */
        @Test
        void areNotMadeWithinOneWindowOfStart() {
            startUp();
            assertInstanceOf(TakeResult.Wait.class, take(1));
            startUpForAdvances();
            assertTaken(93);
            assertInstanceOf(TakeResult.Wait.class, take(1));
        }

        /** Guards against advances that no grant covers but that are forgotten too early. */
        @Test
        void countUntilCoveredOrOutsideEveryWindow() {
            startUpForAdvances();
            assertTaken(90);
            AllowanceRequest request = ask();
            assertEquals(Map.of(ACCOUNT, 90), request.advanced());
            grant(LENDER, request.number(), 90);
            assertTaken(90);
            advance(8000);
            assertInstanceOf(TakeResult.Refused.class, take(90));
            advance(400);
            assertTaken(90);
        }
    }

    @Nested
    class ChangedQuotas {
        /**
         * Guards against a share that is spent twice: a request that was charged before the quota
         * was removed and set again gives back an advance of the removed allowance.
         */
        @Test
        void advanceOfRemovedQuotaIsNotGivenBack() {
            startUpForAdvances();
            QuotaCharge charge = ((TakeResult.Taken) take(90)).charge();
            borrower.onTableInstalled(Map.of(), now);
            borrower.onTableInstalled(Map.of(ACCOUNT, QUOTA), now);
            borrower.giveBack(charge, now);
            assertTaken(93);
            assertInstanceOf(TakeResult.Wait.class, take(1));
        }
    }

    @Nested
    class Refusals {
        /**
         * Guards against callers who come back before the first grant and are refused again, and
         * against all of them coming back at once, when all instances have just started.
         */
        @Test
        void callersReturnOneAfterAnotherOnceTheFirstGrantIsDue() {
            Set<Duration> times = new HashSet<>();
            for (int number = 0; number < 10; number++) {
                times.add(borrower.refuse(ACCOUNT, now).retryAfter());
            }
            Duration earliest = QuotaTimes.BORROWER_RETENTION.plus(Duration.ofMillis(800));
            assertTrue(times.stream().allMatch(each -> each.compareTo(earliest) >= 0), "" + times);
            assertEquals(10, times.size());
        }

        /** Guards against an account that counts as refused for good after its quota is gone. */
        @Test
        void endWithTheQuota() {
            startUp();
            borrower.refuse(ACCOUNT, now);
            borrower.onTableInstalled(Map.of(), now);
            assertEquals(
                    List.of(new QuotaChange(ACCOUNT, true, 0), new QuotaChange(ACCOUNT, false, 1)),
                    borrower.pollChanges());
        }

        /** Guards against a Retry-After that does not say when there will be room. */
        @Test
        void nameTimeThatLenderStates() {
            startUp();
            borrower.startWaiting(ACCOUNT, 5);
            long number = ask().number();
            Map<AccountName, Integer> wait = Map.of(ACCOUNT, 2500);
            borrower.onGrants(LENDER, new AllowanceNotice(number, 10, Map.of(), wait), now);
            assertEquals(new TakeResult.Refused(Duration.ofMillis(2500)), take(5));
            assertEquals(new QuotaChange(ACCOUNT, true, 0), borrower.pollChanges().get(0));
        }

        /** Guards against requests that arrived in a pause and are charged to a later window. */
        @Test
        void followPauseOfProcess() {
            startUpForAdvances();
            now = now.plusMillis(2000);
            assertInstanceOf(TakeResult.Refused.class, take(1));
            advance(100);
            assertTaken(1);
        }
    }

    @Nested
    class Lenders {
        /** Guards against an instance that two lenders count at the same time. */
        @Test
        void newOneIsAskedOnlyAfterTheOldOneStoppedCounting() {
            startUp();
            borrower.onLenders(Set.of(OTHER), now);
            assertTrue(borrower.demands(now).isEmpty());
            advance(700);
            assertTrue(borrower.demands(now).isEmpty());
            advance(200);
            assertTrue(borrower.demands(now).isPresent());
        }

        /** Guards against reports that grow although no account has a quota. */
        @Test
        void areNotAskedWithoutQuotas() {
            borrower.onTableInstalled(Map.of(), now);
            advance(900);
            assertTrue(borrower.demands(now).isEmpty());
            assertFalse(borrower.hasQuotas());
            assertTaken(1_000_000);
        }

        /** Guards against losses on platforms that state no tolerance, when the planner is lost. */
        @Test
        void nothingIsRefusedWithoutLenderAndTolerance() {
            borrower = create(Optional.empty());
            assertTaken(1_000_000);
            startUp();
            assertInstanceOf(TakeResult.Wait.class, take(1));
            advance(1600);
            assertTaken(1_000_000);
        }
    }
}
