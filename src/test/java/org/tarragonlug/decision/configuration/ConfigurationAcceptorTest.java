package org.tarragonlug.decision.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.TestSeeds;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;

class ConfigurationAcceptorTest {
    private final Store store = new Store();

    private static TableContent<Route> routes(long version, int count) {
        return new TableContent<>(
                version, ConfigurationSamples.configuration(1, count).routes(), List.of());
    }

    private static TableContent<Pool> pools(long version, int count) {
        return new TableContent<>(
                version, ConfigurationSamples.configuration(1, count).pools(), List.of());
    }

    /** Stands in for the object API with both tables and all accepted configurations. */
    private static final class Store {
        private TableContent<Route> routes = routes(1, 2);
        private TableContent<Pool> pools = pools(1, 2);
        private final List<AcceptedConfiguration> history = new ArrayList<>();
        private long operations;

        AcceptorEvent.ReadDone read(long number) {
            return read(number, history.size());
        }

        /**
         * Reads the accepted configuration as it was after a number of writes, which may be stale.
         */
        AcceptorEvent.ReadDone read(long number, int writes) {
            Optional<AcceptedConfiguration> accepted =
                    writes == 0 ? Optional.empty() : Optional.of(history.get(writes - 1));
            return new AcceptorEvent.ReadDone(number, routes, pools, accepted, writes);
        }

        WriteOutcome write(AcceptorCommand.WriteAccepted write) {
            if (write.expectedObjectVersion() != history.size()) {
                return WriteOutcome.CONFLICT;
            }
            history.add(write.content());
            return WriteOutcome.DONE;
        }

        OperationId nextOperation() {
            operations++;
            return new OperationId("operation-" + operations);
        }
    }

    /**
     * Drives an acceptor at the configuration owner; keeps its commands until the test answers
     * them.
     */
    private final class OwnerDriver {
        private final ConfigurationAcceptor acceptor =
                new ConfigurationAcceptor(new ProcessId("p"), store::nextOperation);
        private final Deque<AcceptorCommand> pendingCommands = new ArrayDeque<>();
        private final List<ConfigurationStatus> statuses = new ArrayList<>();
        private final List<Long> acceptedVersions = new ArrayList<>();
        private long millis = 1_000_000;

        OwnerDriver() {
            handle(new AcceptorEvent.OwnershipChanged(true));
        }

        void handle(AcceptorEvent event) {
            for (AcceptorCommand command : acceptor.handle(event, Instant.ofEpochMilli(millis))) {
                if (command instanceof AcceptorCommand.WriteStatus status) {
                    statuses.add(status.status());
                } else if (command instanceof AcceptorCommand.DeliverAccepted delivery) {
                    acceptedVersions.add(delivery.accepted().version().value());
                } else {
                    pendingCommands.add(command);
                }
            }
        }

        void tick(long length) {
            for (long end = millis + length; millis < end; millis += 100) {
                handle(new AcceptorEvent.Tick());
            }
        }

        void answerRead() {
            handle(store.read(((AcceptorCommand.Read) pendingCommands.remove()).number()));
        }

        AcceptorCommand.WriteAccepted takeWrite() {
            return (AcceptorCommand.WriteAccepted) pendingCommands.remove();
        }

        void answerWrite() {
            AcceptorCommand.WriteAccepted write = takeWrite();
            handle(new AcceptorEvent.WriteEnded(write.number(), store.write(write)));
        }
    }

    @Nested
    class Accepting {
        /**
         * Guards against valid tables that are never accepted, at the first acceptance or after a
         * later change of one table.
         */
        @Test
        void acceptsValidTablesAsNextVersion() {
            OwnerDriver owner = new OwnerDriver();
            owner.answerRead();
            owner.answerWrite();
            assertEquals(List.of(1L), owner.acceptedVersions);
            store.routes = routes(2, 1);
            owner.handle(new AcceptorEvent.TablesChanged());
            owner.answerRead();
            owner.answerWrite();
            assertEquals(List.of(1L, 2L), owner.acceptedVersions);
            assertEquals(2, owner.statuses.size());
        }

        /**
         * Guards against accepting inconsistent tables: the operator has written the routes, but
         * not yet the pool that contains their models.
         */
        @Test
        void keepsAcceptedConfigurationUntilBothTablesAreWritten() {
            OwnerDriver owner = new OwnerDriver();
            owner.answerRead();
            owner.answerWrite();
            store.routes = routes(2, 3);
            owner.handle(new AcceptorEvent.TablesChanged());
            owner.answerRead();
            assertTrue(owner.pendingCommands.isEmpty());
            TableFault fault = owner.statuses.get(1).faults().get(0);
            assertEquals("$.routes[2].models[0]", fault.path());
            store.pools = pools(2, 3);
            owner.handle(new AcceptorEvent.TablesChanged());
            owner.answerRead();
            owner.answerWrite();
            assertEquals(List.of(1L, 2L), owner.acceptedVersions);
        }

        /**
         * Guards against accepting a table again that a stale read returns after a newer version of
         * the table was accepted.
         */
        @Test
        void ignoresTablesOlderThanAcceptedOnes() {
            store.routes = routes(5, 2);
            OwnerDriver owner = new OwnerDriver();
            owner.answerRead();
            owner.answerWrite();
            store.routes = routes(4, 1);
            owner.handle(new AcceptorEvent.TablesChanged());
            owner.answerRead();
            assertTrue(owner.pendingCommands.isEmpty());
            assertEquals(1, store.history.size());
        }
    }

    @Nested
    class LostAnswers {
        /**
         * Guards against a second version for one change: the answer to the write is lost, although
         * the write took effect, and the owner writes again.
         */
        @Test
        void recognisesOwnWriteAfterLostAnswer() {
            OwnerDriver owner = new OwnerDriver();
            owner.answerRead();
            AcceptorCommand.WriteAccepted write = owner.takeWrite();
            store.write(write);
            owner.handle(new AcceptorEvent.WriteEnded(write.number(), WriteOutcome.UNKNOWN));
            owner.answerRead();
            owner.tick(1_000);
            assertEquals(List.of(1L), owner.acceptedVersions);
            assertTrue(owner.pendingCommands.isEmpty());
        }

        /**
         * Guards against a lost change: a write is delayed, so the owner reads the object unchanged
         * and must repeat the write. Only one of the two identical writes may take effect.
         */
        @Test
        void repeatsIdenticalWriteWhenItHadNoEffect() {
            OwnerDriver owner = new OwnerDriver();
            owner.answerRead();
            AcceptorCommand.WriteAccepted delayed = owner.takeWrite();
            owner.tick(11_000);
            owner.answerRead();
            AcceptorCommand.WriteAccepted repeated = owner.takeWrite();
            assertEquals(delayed.content(), repeated.content());
            store.write(delayed);
            assertEquals(WriteOutcome.CONFLICT, store.write(repeated));
            owner.handle(new AcceptorEvent.WriteEnded(repeated.number(), WriteOutcome.CONFLICT));
            owner.tick(1_000);
            owner.answerRead();
            assertEquals(List.of(1L), owner.acceptedVersions);
        }
    }

    @Nested
    class Randomised {
        /**
         * Guards against reverts, skipped versions and lost changes. Two owners write at the same
         * time, answers are lost, reads are stale, and owners lose and regain ownership.
         */
        @Test
        void racingOwnersProduceOneVersionHistory() {
            TestSeeds.forEach(200, this::race);
        }

        private void race(long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            store.history.clear();
            store.routes = routes(1, 2);
            store.pools = pools(1, 3);
            List<OwnerDriver> owners = List.of(new OwnerDriver(), new OwnerDriver());
            for (int step = 0; step < 300; step++) {
                OwnerDriver owner = owners.get(random.nextInt(2));
                if (random.nextInt(12) == 0) {
                    store.routes = routes(store.routes.objectVersion() + 1, 1 + random.nextInt(3));
                    owners.forEach(each -> each.handle(new AcceptorEvent.TablesChanged()));
                } else if (random.nextInt(40) == 0) {
                    owner.handle(new AcceptorEvent.OwnershipChanged(false));
                    owner.handle(new AcceptorEvent.OwnershipChanged(true));
                } else {
                    answerNextCommand(owner, random);
                }
                owner.tick(100 * random.nextInt(10));
            }
            runUntilStable(owners);
            checkHistory();
            assertEquals(store.routes.rows(), last().configuration().routes());
        }

        private AcceptedConfiguration last() {
            return store.history.get(store.history.size() - 1);
        }

        private void answerNextCommand(OwnerDriver owner, SplittableRandom random) {
            AcceptorCommand command = owner.pendingCommands.poll();
            boolean isLost = random.nextInt(5) == 0;
            if (command instanceof AcceptorCommand.Read read) {
                int writes = store.history.size();
                int visibleWrites = random.nextInt(4) == 0 ? random.nextInt(writes + 1) : writes;
                if (!isLost) {
                    owner.handle(store.read(read.number(), visibleWrites));
                }
            } else if (command instanceof AcceptorCommand.WriteAccepted write) {
                WriteOutcome outcome =
                        random.nextInt(6) == 0 ? WriteOutcome.UNKNOWN : store.write(write);
                if (!isLost) {
                    owner.handle(new AcceptorEvent.WriteEnded(write.number(), outcome));
                }
            }
        }

        private void runUntilStable(List<OwnerDriver> owners) {
            for (int round = 0; round < 200; round++) {
                for (OwnerDriver owner : owners) {
                    owner.tick(1_000);
                    if (owner.pendingCommands.peek() instanceof AcceptorCommand.Read) {
                        owner.answerRead();
                    } else if (!owner.pendingCommands.isEmpty()) {
                        owner.answerWrite();
                    }
                }
            }
        }

        private void checkHistory() {
            assertFalse(store.history.isEmpty());
            for (int index = 0; index < store.history.size(); index++) {
                AcceptedConfiguration each = store.history.get(index);
                assertEquals(index + 1, each.version().value());
                if (index > 0) {
                    assertTrue(each.routesVersion() > store.history.get(index - 1).routesVersion());
                }
            }
        }
    }
}
