package org.tarragonlug.decision.watching;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/** Entries of one server, read before and after the store came back from an older copy. */
class ServerStatementsTest {
    private static final ServerId SERVER = new ServerId("s1");
    private static final OptionalLong UNKNOWN = OptionalLong.empty();

    private final ServerStatements statements = new ServerStatements(WatchLimits.DEFAULT);
    private Instant now = Instant.EPOCH;

    private static ServerStatement entry(
            long started, OptionalLong number, boolean leaving, long era, long revision) {
        return new ServerStatement(
                new ServerIncarnation(SERVER, started),
                number,
                leaving,
                new StorePosition(new StoreEra(era), revision));
    }

    private static ServerStatement ready(long number, long era, long revision) {
        return entry(1000, OptionalLong.of(number), false, era, revision);
    }

    private static ServerStatement leaving(long number, long era, long revision) {
        return entry(1000, OptionalLong.of(number), true, era, revision);
    }

    private void expect(ServerVerdict expected, ServerStatement read) {
        assertEquals(expected, statements.onRead(read, now), read.toString());
    }

    private void remove(long era) {
        statements.onRemoved(SERVER, new StoreEra(era), now);
    }

    @Nested
    class Listed {
        /** Guards against a server that leaves becoming ready from an entry of the copy. */
        @Test
        void leavingServerStaysLeavingWhileTheCopyIsOlder() {
            expect(ServerVerdict.CURRENT, leaving(9, 1, 50));
            expect(ServerVerdict.OUTDATED, ready(5, 2, 20));
            expect(ServerVerdict.OUTDATED, ready(7, 2, 21));
            expect(ServerVerdict.CURRENT, leaving(10, 2, 22));
        }

        /** Guards against a statement of the server being ignored for good. */
        @Test
        void serverMaySayLaterThatItIsReady() {
            expect(ServerVerdict.CURRENT, leaving(9, 1, 50));
            expect(ServerVerdict.CURRENT, ready(10, 2, 20));
        }

        /** Guards against a store order within an era that no longer decides. */
        @Test
        void orderOfTheStoreDecidesWithinAnEra() {
            expect(ServerVerdict.CURRENT, entry(1000, UNKNOWN, true, 2, 50));
            expect(ServerVerdict.CURRENT, entry(1000, UNKNOWN, false, 2, 51));
            expect(ServerVerdict.CURRENT, entry(0, OptionalLong.of(9), true, 2, 52));
            expect(ServerVerdict.CURRENT, entry(0, OptionalLong.of(1), false, 2, 53));
        }

        /** Guards against a server that leaves becoming ready from a write made late. */
        @Test
        void writeThatTheStoreMadeLateIsIgnored() {
            expect(ServerVerdict.CURRENT, leaving(9, 2, 50));
            expect(ServerVerdict.OUTDATED, ready(5, 2, 51));
            expect(ServerVerdict.CURRENT, ready(10, 2, 52));
        }

        /** Guards against a server that has left being listed again by a write made late. */
        @Test
        void writeMadeLateAfterTheRemovalIsIgnored() {
            expect(ServerVerdict.CURRENT, leaving(9, 2, 50));
            remove(2);
            expect(ServerVerdict.OUTDATED, ready(5, 2, 52));
            expect(ServerVerdict.CURRENT, ready(10, 2, 53));
        }

        /** Guards against a server that leaves becoming ready from an entry without a number. */
        @Test
        void entryWithoutNumberDoesNotTakeLeavingBack() {
            expect(ServerVerdict.CURRENT, entry(1000, UNKNOWN, false, 1, 40));
            expect(ServerVerdict.CURRENT, entry(1000, UNKNOWN, true, 1, 50));
            expect(ServerVerdict.OUTDATED, entry(1000, UNKNOWN, false, 2, 40));
            expect(ServerVerdict.OUTDATED, entry(1000, UNKNOWN, false, 2, 41));
            expect(ServerVerdict.CURRENT, entry(1000, UNKNOWN, true, 2, 42));
        }

        /** Guards against older news from a second copy after a server was heard in the first. */
        @Test
        void eachCopyIsJudgedByTheNewestStatement() {
            expect(ServerVerdict.CURRENT, ready(5, 1, 30));
            expect(ServerVerdict.OUTDATED, ready(3, 2, 20));
            expect(ServerVerdict.CURRENT, leaving(8, 2, 21));
            expect(ServerVerdict.OUTDATED, ready(3, 3, 20));
            expect(ServerVerdict.OUTDATED, ready(7, 3, 21));
        }
    }

    @Nested
    class Removed {
        /** Guards against a server that left without a word being taken back from the copy. */
        @Test
        void removedServerIsWithheldWhateverNumberTheCopyHas() {
            expect(ServerVerdict.CURRENT, ready(2, 1, 30));
            remove(1);
            expect(ServerVerdict.WITHHELD, ready(7, 2, 30));
        }

        /** Guards against a removal that is forgotten when the store comes back twice. */
        @Test
        void removedServerIsWithheldAfterEachReturn() {
            expect(ServerVerdict.CURRENT, ready(2, 1, 30));
            remove(1);
            expect(ServerVerdict.WITHHELD, ready(7, 2, 30));
            expect(ServerVerdict.WITHHELD, ready(7, 3, 30));
            remove(3);
            expect(ServerVerdict.WITHHELD, ready(7, 4, 30));
        }

        /** Guards against a running server that stays unused after its entry was removed. */
        @Test
        void serverThatWritesInThePresentEraIsUsed() {
            expect(ServerVerdict.CURRENT, ready(2, 1, 30));
            remove(1);
            expect(ServerVerdict.WITHHELD, ready(1, 2, 20));
            expect(ServerVerdict.CURRENT, ready(9, 2, 21));
        }

        /** Guards against a running server that stays unused because nothing of it changes. */
        @Test
        void serverThatStaysListedIsUsed() {
            expect(ServerVerdict.CURRENT, ready(2, 1, 30));
            remove(1);
            expect(ServerVerdict.WITHHELD, ready(1, 2, 20));
            assertEquals(ServerVerdict.CURRENT, statements.onRenewed(ready(1, 2, 20), now));
        }

        /** Guards against a server that said it leaves being ready because it stays listed. */
        @Test
        void leavingServerIsNotReadyAgainBecauseItStaysListed() {
            expect(ServerVerdict.CURRENT, leaving(9, 1, 50));
            remove(1);
            expect(ServerVerdict.OUTDATED, ready(5, 2, 20));
            assertEquals(ServerVerdict.OUTDATED, statements.onRenewed(ready(5, 2, 20), now));
        }

        /** Guards against a server that is withheld although it was removed in the same era. */
        @Test
        void serverThatIsListedAgainInTheEraOfItsRemovalIsUsed() {
            expect(ServerVerdict.CURRENT, ready(2, 1, 30));
            remove(2);
            expect(ServerVerdict.CURRENT, ready(3, 2, 21));
        }

        /** Guards against a memory of removals without a bound. */
        @Test
        void removalIsForgottenAfterLong() {
            expect(ServerVerdict.CURRENT, ready(2, 1, 30));
            remove(1);
            now = now.plus(Duration.ofMinutes(11));
            statements.onRemoved(new ServerId("another"), new StoreEra(1), now);
            expect(ServerVerdict.CURRENT, ready(7, 2, 30));
        }
    }

    @Nested
    class Starts {
        /** Guards against a server that started again being taken for the run that left. */
        @Test
        void laterStartIsAlwaysUsed() {
            expect(ServerVerdict.CURRENT, leaving(9, 1, 50));
            remove(1);
            expect(ServerVerdict.CURRENT, entry(2000, OptionalLong.of(1), false, 2, 20));
        }

        /** Guards against a present run being replaced by an earlier one of the copy. */
        @Test
        void earlierStartIsIgnored() {
            expect(ServerVerdict.CURRENT, entry(2000, OptionalLong.of(1), false, 1, 50));
            expect(ServerVerdict.OUTDATED, ready(30, 2, 20));
            expect(ServerVerdict.OUTDATED, ready(31, 2, 21));
        }
    }
}
