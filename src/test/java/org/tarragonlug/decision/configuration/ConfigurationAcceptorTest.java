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

    /** The object API with both tables, the accepted configuration and its past. */
    private static final class Store {
        private TableContent<Route> routes = routes(1, 2);
        private TableContent<Pool> pools = pools(1, 2);
        private final List<AcceptedConfiguration> past = new ArrayList<>();
        private long operations;

        AcceptorEvent.ReadDone read(long number) {
            return read(number, past.size());
        }

        /** Reads with an accepted configuration as it was after a number of writes. */
        AcceptorEvent.ReadDone read(long number, int writes) {
            Optional<AcceptedConfiguration> accepted =
                    writes == 0 ? Optional.empty() : Optional.of(past.get(writes - 1));
            return new AcceptorEvent.ReadDone(number, routes, pools, accepted, writes);
        }

        WriteOutcome write(AcceptorCommand.WriteAccepted write) {
            if (write.expectedObjectVersion() != past.size()) {
                return WriteOutcome.CONFLICT;
            }
            past.add(write.content());
            return WriteOutcome.DONE;
        }

        OperationId nextOperation() {
            operations++;
            return new OperationId("operation-" + operations);
        }
    }

    /** An acceptor whose commands wait until the test executes them. */
    private final class Owner {
        private final ConfigurationAcceptor acceptor =
                new ConfigurationAcceptor(new ProcessId("p"), store::nextOperation);
        private final Deque<AcceptorCommand> waiting = new ArrayDeque<>();
        private final List<ConfigurationStatus> statuses = new ArrayList<>();
        private final List<Long> accepted = new ArrayList<>();
        private long millis = 1_000_000;

        Owner() {
            handle(new AcceptorEvent.OwnershipChanged(true));
        }

        void handle(AcceptorEvent event) {
            for (AcceptorCommand command : acceptor.handle(event, Instant.ofEpochMilli(millis))) {
                if (command instanceof AcceptorCommand.WriteStatus status) {
                    statuses.add(status.status());
                } else if (command instanceof AcceptorCommand.DeliverAccepted done) {
                    accepted.add(done.accepted().version().value());
                } else {
                    waiting.add(command);
                }
            }
        }

        void tick(long length) {
            for (long end = millis + length; millis < end; millis += 100) {
                handle(new AcceptorEvent.Tick());
            }
        }

        void answerRead() {
            handle(store.read(((AcceptorCommand.Read) waiting.remove()).number()));
        }

        AcceptorCommand.WriteAccepted takeWrite() {
            return (AcceptorCommand.WriteAccepted) waiting.remove();
        }

        void answerWrite() {
            AcceptorCommand.WriteAccepted write = takeWrite();
            handle(new AcceptorEvent.WriteEnded(write.number(), store.write(write)));
        }
    }

    @Nested
    class Accepting {
        /** Guards against valid tables that never come into force. */
        @Test
        void validTablesBecomeTheNextVersion() {
            Owner owner = new Owner();
            owner.answerRead();
            owner.answerWrite();
            assertEquals(List.of(1L), owner.accepted);
            store.routes = routes(2, 1);
            owner.handle(new AcceptorEvent.TablesChanged());
            owner.answerRead();
            owner.answerWrite();
            assertEquals(List.of(1L, 2L), owner.accepted);
            assertEquals(2, owner.statuses.size());
        }

        /** Guards against half-written tables in force: routes written, their pool not yet. */
        @Test
        void halfWrittenTablesLeaveTheAcceptedOneInForce() {
            Owner owner = new Owner();
            owner.answerRead();
            owner.answerWrite();
            store.routes = routes(2, 3);
            owner.handle(new AcceptorEvent.TablesChanged());
            owner.answerRead();
            assertTrue(owner.waiting.isEmpty());
            TableFault fault = owner.statuses.get(1).faults().get(0);
            assertEquals("$.routes[2].models[0]", fault.path());
            store.pools = pools(2, 3);
            owner.handle(new AcceptorEvent.TablesChanged());
            owner.answerRead();
            owner.answerWrite();
            assertEquals(List.of(1L, 2L), owner.accepted);
        }

        /** Guards against old tables that a stale read brings after newer ones were accepted. */
        @Test
        void staleTablesAreNotAccepted() {
            store.routes = routes(5, 2);
            Owner owner = new Owner();
            owner.answerRead();
            owner.answerWrite();
            store.routes = routes(4, 1);
            owner.handle(new AcceptorEvent.TablesChanged());
            owner.answerRead();
            assertTrue(owner.waiting.isEmpty());
            assertEquals(1, store.past.size());
        }
    }

    @Nested
    class LostAnswers {
        /** Guards against a second version for one change when the answer to its write is lost. */
        @Test
        void effectiveWriteIsRecognised() {
            Owner owner = new Owner();
            owner.answerRead();
            AcceptorCommand.WriteAccepted write = owner.takeWrite();
            store.write(write);
            owner.handle(new AcceptorEvent.WriteEnded(write.number(), WriteOutcome.UNKNOWN));
            owner.answerRead();
            owner.tick(1_000);
            assertEquals(List.of(1L), owner.accepted);
            assertTrue(owner.waiting.isEmpty());
        }

        /** Guards against a change that is given up though its write had no effect. */
        @Test
        void ineffectiveWriteIsRepeatedAsItWas() {
            Owner owner = new Owner();
            owner.answerRead();
            AcceptorCommand.WriteAccepted lost = owner.takeWrite();
            owner.tick(11_000);
            owner.answerRead();
            AcceptorCommand.WriteAccepted repeated = owner.takeWrite();
            assertEquals(lost.content(), repeated.content());
            store.write(lost);
            assertEquals(WriteOutcome.CONFLICT, store.write(repeated));
            owner.handle(new AcceptorEvent.WriteEnded(repeated.number(), WriteOutcome.CONFLICT));
            owner.tick(1_000);
            owner.answerRead();
            assertEquals(List.of(1L), owner.accepted);
        }
    }

    @Nested
    class Randomised {
        /**
         * Guards against reverts, skipped versions and lost changes when two owners race, answers
         * are lost, reads are stale and ownership changes.
         */
        @Test
        void racingOwnersKeepOneHistory() {
            TestSeeds.forEach(200, this::race);
        }

        private void race(long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            store.past.clear();
            store.routes = routes(1, 2);
            store.pools = pools(1, 3);
            List<Owner> owners = List.of(new Owner(), new Owner());
            for (int step = 0; step < 300; step++) {
                Owner owner = owners.get(random.nextInt(2));
                if (random.nextInt(12) == 0) {
                    store.routes = routes(store.routes.objectVersion() + 1, 1 + random.nextInt(3));
                    owners.forEach(each -> each.handle(new AcceptorEvent.TablesChanged()));
                } else if (random.nextInt(40) == 0) {
                    owner.handle(new AcceptorEvent.OwnershipChanged(false));
                    owner.handle(new AcceptorEvent.OwnershipChanged(true));
                } else {
                    answer(owner, random);
                }
                owner.tick(100 * random.nextInt(10));
            }
            settle(owners);
            checkHistory();
            assertEquals(store.routes.rows(), last().configuration().routes());
        }

        private AcceptedConfiguration last() {
            return store.past.get(store.past.size() - 1);
        }

        private void answer(Owner owner, SplittableRandom random) {
            AcceptorCommand command = owner.waiting.poll();
            boolean isLost = random.nextInt(5) == 0;
            if (command instanceof AcceptorCommand.Read read) {
                int writes = store.past.size();
                int seen = random.nextInt(4) == 0 ? random.nextInt(writes + 1) : writes;
                if (!isLost) {
                    owner.handle(store.read(read.number(), seen));
                }
            } else if (command instanceof AcceptorCommand.WriteAccepted write) {
                WriteOutcome outcome =
                        random.nextInt(6) == 0 ? WriteOutcome.UNKNOWN : store.write(write);
                if (!isLost) {
                    owner.handle(new AcceptorEvent.WriteEnded(write.number(), outcome));
                }
            }
        }

        private void settle(List<Owner> owners) {
            for (int round = 0; round < 200; round++) {
                for (Owner owner : owners) {
                    owner.tick(1_000);
                    if (owner.waiting.peek() instanceof AcceptorCommand.Read) {
                        owner.answerRead();
                    } else if (!owner.waiting.isEmpty()) {
                        owner.answerWrite();
                    }
                }
            }
        }

        private void checkHistory() {
            assertFalse(store.past.isEmpty());
            for (int index = 0; index < store.past.size(); index++) {
                AcceptedConfiguration each = store.past.get(index);
                assertEquals(index + 1, each.version().value());
                if (index > 0) {
                    assertTrue(each.routesVersion() > store.past.get(index - 1).routesVersion());
                }
            }
        }
    }
}
