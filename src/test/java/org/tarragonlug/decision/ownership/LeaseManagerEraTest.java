package org.tarragonlug.decision.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/** Lease managers whose store returns from an older copy. */
class LeaseManagerEraTest {
    private static final FencingToken FIRST_TOKEN = FencingToken.firstOf(new StoreEra(1));

    @Nested
    class MissingLease {
        // Guards against seconds without orders when the whole system starts.
        @Test
        void isFreeInFirstEraAtFirstStart() {
            LeaseScript script = new LeaseScript("a", true);
            script.enterEra(1);
            assertTrue(script.writesWithin(Duration.ofMillis(700), null));
        }

        // Guards against a second holder: a process that first reaches the store after its return
        // takes the lease at once, while the holder, which the copy lacks, gives orders.
        @Test
        void isNotFreeInLaterEraAtFirstStart() {
            LeaseScript script = new LeaseScript("b", true);
            script.enterEra(2);
            assertFalse(script.writesWithin(LeaseManager.TAKEOVER_AFTER, null));
            assertTrue(script.writesWithin(Duration.ofSeconds(2), null));
        }
    }

    @Nested
    class PresentHolder {
        // Guards against seconds without orders: the copy has no lease, and all processes live.
        @Test
        void writesMissingLeaseAgainAndGoesOn() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            holder.enterEra(2);
            LeaseRecord again = holder.nextWrite(null);
            assertEquals(FIRST_TOKEN, again.fence());
            assertEquals(new StorePosition(new StoreEra(2), 0), again.position());
            assertEquals(new StoreEra(2), again.writtenIn());
            assertTrue(again.ordering());
            assertEquals(Duration.ZERO, holder.untilOrders(again, 1));
        }

        // Guards against a holder that yields to one of before, whom the copy has given back.
        @Test
        void writesLeaseAgainOverThatOfEarlierHolder() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            holder.enterEra(2);
            LeaseRecord again = holder.nextWrite(holder.stored("b", "b-1", 3, 1, 8));
            assertEquals(FIRST_TOKEN, again.fence());
            assertEquals(8, again.revision());
            assertTrue(holder.manager.mayOrder(holder.now()));
        }

        // Guards against two holders: the copy shows who has taken the lease over in this era.
        @Test
        void yieldsToHolderOfPresentEra() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            holder.enterEra(2);
            holder.read(holder.stored("b", "b-1", 3, 2, 8));
            assertFalse(holder.manager.mayOrder(holder.now()));
        }

        // Guards against two holders: the store was out of reach for so long that another instance
        // may have taken the lease over, which the copy does not show.
        @Test
        void doesNotWriteLeaseAgainAfterLongSilence() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            holder.pass(LeaseManager.TAKEOVER_AFTER);
            holder.enterEra(2);
            assertFalse(holder.manager.mayOrder(holder.now()));
            LeaseRecord inCopy = holder.stored("a", LeaseScript.processOf("a"), 9, 1, 1);
            assertFalse(holder.writesWithin(LeaseManager.TAKEOVER_AFTER, inCopy));
        }

        // Guards against the same if the holder was paused, so that it does not know how long.
        @Test
        void doesNotWriteLeaseAgainAfterPause() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            holder.manager.handle(new LeaseEvent.Paused(), holder.now());
            holder.enterEra(2);
            LeaseRecord inCopy = holder.stored("a", LeaseScript.processOf("a"), 9, 1, 1);
            assertFalse(holder.writesWithin(LeaseManager.TAKEOVER_AFTER, inCopy));
        }

        // Guards against the same if the pause is noticed after the era.
        @Test
        void doesNotWriteLeaseAgainAfterPauseThatIsNoticedLate() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            holder.enterEra(2);
            holder.manager.handle(new LeaseEvent.Paused(), holder.now());
            assertFalse(holder.writesWithin(LeaseManager.TAKEOVER_AFTER, null));
        }

        // Guards against a token that is lost if the store returns twice before a write.
        @Test
        void keepsTokenThroughTwoReturns() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            holder.enterEra(2);
            holder.readMissing();
            holder.enterEra(3);
            LeaseRecord again = holder.nextWrite(holder.stored("b", "b-1", 3, 2, 1));
            assertEquals(FIRST_TOKEN, again.fence());
            assertEquals(new StoreEra(3), again.writtenIn());
        }
    }

    @Nested
    class CallsUnderWay {
        // Guards against a holder that loses its lease: it began a second call when it learnt of
        // the
        // era, wrote the lease that the copy lacks, and then got the answer of the first one.
        @Test
        void noSecondCallBeginsWhenEraChanges() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            holder.nextWrite(null);
            holder.enterEra(2);
            assertEquals(List.of(), holder.tick());
        }

        // Guards against a lease that is not written again in time because of a needless delay.
        @Test
        void nextCallBeginsAtOnceAfterAnswerOfOtherEra() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            holder.nextWrite(null);
            holder.pass(Duration.ofMillis(100));
            holder.enterEra(2);
            holder.manager.handle(new LeaseEvent.CallFailed(), holder.now());
            assertEquals(List.of(new LeaseCommand.Read()), holder.tick());
        }
    }

    @Nested
    class Successor {
        private static final Duration BEFORE_TAKEOVER = LeaseManager.TAKEOVER_AFTER.minusMillis(40);

        // Guards against the two holders of review/6: a restarted process finds the lease of its
        // own earlier process in the copy, which does not show that another instance holds it.
        @Test
        void restartedProcessWaitsWhenCopyShowsItsEarlierProcess() {
            LeaseScript restarted = new LeaseScript("a", false);
            restarted.enterEra(2);
            LeaseRecord inCopy = restarted.stored("a", "a-earlier", 9, 1, 4);
            assertFalse(restarted.writesWithin(BEFORE_TAKEOVER, inCopy));
            assertOrdersAfterEarlierHolders(restarted, inCopy);
        }

        // Guards against a lease that is taken at once because the copy does not have it.
        @Test
        void waitsWhenCopyHasNoLease() {
            LeaseScript other = new LeaseScript("b", false);
            other.enterEra(2);
            assertFalse(other.writesWithin(BEFORE_TAKEOVER, null));
            assertOrdersAfterEarlierHolders(other, null);
        }

        /** Checks that no order falls into the turn of a holder that renewed before the return. */
        private static void assertOrdersAfterEarlierHolders(
                LeaseScript script, LeaseRecord inCopy) {
            LeaseRecord acquired = script.nextWrite(inCopy);
            assertEquals(FencingToken.firstOf(new StoreEra(2)), acquired.fence());
            script.untilOrders(acquired, 10);
            Duration waited = Duration.between(script.eraSince(), script.now());
            Duration least = LeaseManager.ORDER_PERIOD.plus(LeaseSimulation.TURN);
            assertTrue(waited.compareTo(least) >= 0, "waited " + waited);
        }

        // Guards against a takeover too early: another record with the revision of the last one
        // counts as unchanged since before the return.
        @Test
        void sameRevisionInNextEraIsAnotherRecord() {
            LeaseScript other = new LeaseScript("b", false);
            other.enterEra(1);
            LeaseRecord before = other.stored("a", "a-1", 9, 1, 4);
            assertFalse(other.writesWithin(Duration.ofSeconds(6), before));
            other.enterEra(2);
            LeaseRecord after = other.stored("c", "c-1", 9, 1, 4);
            assertFalse(other.writesWithin(BEFORE_TAKEOVER, after));
        }

        // Guards against a holder beside the one that took the lease after its release, which the
        // store has lost.
        @Test
        void releaseOfEarlierEraFreesNothing() {
            LeaseScript other = new LeaseScript("b", false);
            other.enterEra(2);
            LeaseRecord inCopy = LeaseScript.released(other.stored("a", "a-1", 9, 1, 4), true);
            assertFalse(other.writesWithin(BEFORE_TAKEOVER, inCopy));
        }

        // Guards against the same if the release was read before the return.
        @Test
        void releaseThatStoreHasLostFreesNothing() {
            LeaseScript other = new LeaseScript("b", false);
            other.enterEra(1);
            other.read(LeaseScript.released(other.stored("a", "a-1", 9, 1, 5), true));
            other.enterEra(2);
            LeaseRecord inCopy = other.stored("a", "a-1", 9, 1, 4);
            assertFalse(other.writesWithin(BEFORE_TAKEOVER, inCopy));
        }

        // Guards against a lease that is acquired, or left alone, because of what a holder stated
        // about a renewal of another era with the same revision.
        @Test
        void statementOfOtherEraIsIgnored() {
            LeaseScript other = new LeaseScript("b", false);
            other.enterEra(2);
            LeaseRecord inPresentEra = other.stored("a", "a-1", 9, 2, 4);
            other.read(inPresentEra);
            other.stated(false, 1, 4);
            assertFalse(other.writesWithin(BEFORE_TAKEOVER, inPresentEra));
            other.stated(true, 3, 5);
            assertTrue(other.writesWithin(Duration.ofSeconds(2), inPresentEra));
        }
    }

    @Nested
    class LateAnswers {
        // Guards against orders with a lower fencing token than before: after a change of the era
        // two reads are under way, and the first one is answered after the lease was acquired.
        @Test
        void overtakenReadDoesNotReplaceOwnRecord() {
            LeaseScript restarted = new LeaseScript("a", false);
            restarted.enterEra(3);
            LeaseRecord ofEarlierProcess = restarted.stored("a", "a-earlier", 9, 3, 15);
            restarted.read(ofEarlierProcess);
            restarted.written(restarted.nextWrite(ofEarlierProcess), 16);
            FencingToken acquired = restarted.manager.fence();
            restarted.read(ofEarlierProcess);
            assertEquals(acquired, restarted.manager.fence());
        }

        // Guards against a write over another holder's record of the same revision: the answer of
        // an earlier era waited in the queue while the instance learnt of the present one.
        @Test
        void readOfEarlierEraIsIgnored() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            LeaseRecord ofEarlierEra = holder.stored("a", LeaseScript.processOf("a"), 9, 1, 4);
            holder.enterEra(2);
            holder.read(ofEarlierEra);
            LeaseRecord inCopy = holder.stored("a", LeaseScript.processOf("a"), 9, 1, 2);
            assertEquals(2, holder.nextWrite(inCopy).revision());
        }

        // Guards against a renewal of an earlier era that starts an order period in the next one.
        @Test
        void writeOfEarlierEraStartsNoOrderPeriod() {
            LeaseScript holder = LeaseScript.ofFirstHolder("a");
            LeaseRecord renewal = holder.nextWrite(null);
            Instant began = holder.now();
            holder.enterEra(2);
            LeaseRecord stored = renewal.at(new StorePosition(new StoreEra(1), 2));
            holder.manager.handle(new LeaseEvent.Written(stored, began), began);
            Instant lastOrder = began.plus(LeaseManager.ORDER_PERIOD).minusMillis(100);
            assertFalse(holder.manager.mayOrder(lastOrder));
        }
    }
}
