package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/** A request that was sent to a server waits for its connection while something changes. */
class WithdrawnForwardTest {
    private static final ServerId FIRST = new ServerId("first");
    private static final Duration PAUSE = Duration.ofSeconds(2);

    private final ForwardingFixture fixture =
            new ForwardingFixture().withRoutes().withServer("first", RECORDS);
    private long answered;
    private long waiting;

    /** What happens while the request waits for its connection. */
    enum Change {
        LISTED_AS_LEAVING(false, test -> test.list(ListedState.LEAVING, 1)),
        UNLISTED(false, test -> test.handle(new ForwardingEvent.ServerUnlisted(FIRST))),
        STARTED_AGAIN(false, test -> test.list(ListedState.READY, 2)),
        SAYS_IT_LEAVES(false, test -> test.notice(new ServerNotice(true, Optional.empty()))),
        WANTS_A_PAUSE(false, test -> test.notice(new ServerNotice(false, Optional.of(PAUSE)))),
        PAUSE_IS_OVER(
                true,
                test -> {
                    test.notice(new ServerNotice(false, Optional.of(PAUSE)));
                    test.fixture.now = test.fixture.now.plus(PAUSE);
                }),
        DEADLINE_HAS_PASSED(
                false, test -> test.fixture.now = test.fixture.now.plus(Duration.ofMinutes(1))),
        OTHER_CONNECTION_FAILS(true, test -> test.reject(test.answered, Rejection.UNREACHABLE)),
        OTHER_SERVER_LEAVES(
                true,
                test -> {
                    test.fixture.withServer("second", RECORDS);
                    test.fixture.withLeavingServer("second", RECORDS);
                }),
        NOTHING(true, test -> {});

        private final boolean maySend;
        private final Consumer<WithdrawnForwardTest> action;

        Change(boolean maySend, Consumer<WithdrawnForwardTest> action) {
            this.maySend = maySend;
            this.action = action;
        }
    }

    @BeforeEach
    void sendTwo() {
        answered = send();
        waiting = send();
    }

    private long send() {
        return find(fixture.arrive("/issue/1", ""), ForwardingCommand.Send.class)
                .orElseThrow()
                .request();
    }

    private List<ForwardingCommand> handle(ForwardingEvent event) {
        return fixture.handle(event);
    }

    private void notice(ServerNotice notice) {
        handle(new ForwardingEvent.ServerNoticed(fixture.attempt(answered), notice));
    }

    private void list(ListedState state, long startedMillis) {
        handle(
                new ForwardingEvent.ServerListed(
                        new ServerListing(
                                FIRST,
                                RECORDS,
                                "10.0.0.1:5",
                                new FailureDomain("home"),
                                8,
                                state,
                                startedMillis,
                                Map.of(),
                                Set.of(),
                                Set.of())));
    }

    private List<ForwardingCommand> reject(long request, Rejection rejection) {
        return handle(
                new ForwardingEvent.Rejected(
                        fixture.attempt(request), rejection, Optional.empty()));
    }

    private boolean maySend() {
        return fixture.coordinator.maySend(fixture.attempt(waiting), fixture.now);
    }

    // Guards against a request that is written to a server of which this instance already knows
    // that it leaves, is gone or wants a pause, or whose caller has left because its time is over,
    // and against requests that are held back needlessly.
    @ParameterizedTest
    @EnumSource
    void requestMayBeWrittenWhileItsServerWantsRequests(Change change) {
        assertTrue(maySend());
        change.action.accept(this);
        assertEquals(change.maySend, maySend());
    }

    // Guards against a request that is written after its caller has left.
    @Test
    void requestOfACallerThatLeftMayNotBeWritten() {
        handle(new ForwardingEvent.CallerDisconnected(waiting));
        assertFalse(maySend());
    }

    @Nested
    class AfterWithdrawal {
        private ForwardingCommand.Refuse refusal(List<ForwardingCommand> commands) {
            return find(commands, ForwardingCommand.Refuse.class).orElseThrow();
        }

        // Guards against a refusal of a request that another server can run, also one that must not
        // be repeated: it has not run.
        @Test
        void requestGoesToAnotherServer() {
            fixture.withServer("second", RECORDS);
            list(ListedState.LEAVING, 1);
            ForwardingCommand.Send send =
                    find(reject(waiting, Rejection.WITHDRAWN), ForwardingCommand.Send.class)
                            .orElseThrow();
            assertEquals(new ServerId("second"), send.server());
        }

        // Guards against a request that is refused although the server has started again.
        @Test
        void requestGoesToTheNextRunOfItsServer() {
            list(ListedState.READY, 2);
            ForwardingCommand.Send send =
                    find(reject(waiting, Rejection.WITHDRAWN), ForwardingCommand.Send.class)
                            .orElseThrow();
            assertEquals(FIRST, send.server());
            assertFalse(send.newConnection());
            assertTrue(maySend());
        }

        // Guards against a request that waits for its deadline although no server is left.
        @Test
        void requestIsRefusedAsNotRunIfNoServerComes() {
            list(ListedState.LEAVING, 1);
            List<ForwardingCommand> commands = reject(waiting, Rejection.WITHDRAWN);
            commands.addAll(fixture.advance(Duration.ofMillis(300)));
            assertEquals(RefusalReason.NO_SERVER, refusal(commands).reason());
        }

        // Guards against a request that waits for the end of a pause that its caller won't see.
        @Test
        void requestIsRefusedAtOnceInAPause() {
            notice(new ServerNotice(false, Optional.of(PAUSE)));
            List<ForwardingCommand> commands = reject(waiting, Rejection.WITHDRAWN);
            assertTrue(refusal(commands).retryAfter().orElseThrow().compareTo(PAUSE) >= 0);
        }

        // Guards against a use of the retry budget, or of the moves that a request may make, by
        // requests that reached no server.
        @Test
        void withdrawalsAreNoRetries() {
            fixture.withServer("second", RECORDS);
            for (long started = 2; started < 100; started++) {
                list(started % 2 == 0 ? ListedState.LEAVING : ListedState.READY, started);
                List<ForwardingCommand> commands = reject(waiting, Rejection.WITHDRAWN);
                assertTrue(find(commands, ForwardingCommand.Send.class).isPresent());
            }
        }
    }
}
