package org.tarragonlug.decision.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/** Lease managers whose store returns from an older copy. */
class LeaseManagerEraTest {
    private static final FencingToken FIRST_TOKEN = FencingToken.firstOf(new StoreEra(1));

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
            restarted.written(restarted.nextWrite(), 16);
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
            LeaseRecord renewal = holder.nextWrite();
            Instant began = holder.now();
            holder.enterEra(2);
            LeaseRecord stored = renewal.at(new StorePosition(new StoreEra(1), 2));
            holder.manager.handle(new LeaseEvent.Written(stored, began), began);
            Instant lastOrder = began.plus(LeaseManager.ORDER_PERIOD).minusMillis(100);
            assertFalse(holder.manager.mayOrder(lastOrder));
        }
    }
}
