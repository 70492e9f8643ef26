package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.HOST;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.decision.account.AccountDirectory;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.decision.account.Credential;
import org.tarragonlug.decision.account.KeyDigest;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.account.QuotaUnit;
import org.tarragonlug.decision.quota.AllowanceNotice;
import org.tarragonlug.decision.quota.InstanceTotal;
import org.tarragonlug.decision.quota.QuotaBorrower;
import org.tarragonlug.decision.quota.QuotaTolerance;
import org.tarragonlug.decision.quota.TakeResult;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;

/** Requests of accounts with quotas at the coordinator, in virtual time. */
class ForwardingQuotaTest {
    private static final AccountName LIMITED = new AccountName("press");
    private static final InstanceId LENDER = new InstanceId("entry-1");
    private static final Quota QUOTA = new Quota(QuotaUnit.TOKENS, 100, 100, 20);
    private static final QuotaTolerance NO_ADVANCE =
            new QuotaTolerance(Duration.ofSeconds(8), 0, 0);

    private final QuotaBorrower borrower =
            new QuotaBorrower(Optional.of(NO_ADVANCE), new InstanceTotal(), 1);
    private final ForwardingCoordinator coordinator =
            new ForwardingCoordinator(
                    "one",
                    new FailureDomain("home"),
                    String::hashCode,
                    new ForwardingLimits(Duration.ofSeconds(10), 0.2, 1000, 1),
                    borrower);
    private Instant now = Instant.ofEpochSecond(1000);
    private long version;
    private long lastKey;

    private static Credential key(int value) {
        byte[] bytes = new byte[KeyDigest.BYTES];
        bytes[0] = (byte) value;
        return Credential.of(new KeyDigest(bytes));
    }

    private static ClientAccount account(AccountName name, int key, Optional<Quota> quota) {
        return new ClientAccount(
                name, Set.of(key(key).digest().orElseThrow()), OptionalInt.empty(), quota);
    }

    private List<ForwardingCommand> handle(ForwardingEvent event) {
        return coordinator.handle(event, now);
    }

    private void advance(long millis) {
        for (long left = millis; left > 0; left -= 20) {
            now = now.plusMillis(20);
            handle(new ForwardingEvent.Tick());
        }
    }

    @BeforeEach
    void start() {
        install(Optional.of(QUOTA));
        listServer("r1");
        borrower.onLenders(Set.of(LENDER), now);
        advance(1000);
        grant(0);
    }

    private List<ForwardingCommand> install(Optional<Quota> quota) {
        ForwardingRoute route =
                ForwardingFixture.route("/read/", RequestKind.IDEMPOTENT, 2, false, RECORDS);
        version++;
        return handle(
                new ForwardingEvent.TableInstalled(
                        new ForwardingTable(
                                new ConfigurationVersion(version),
                                List.of(route),
                                List.of(new ForwardingService(RECORDS, Optional.empty(), 100)),
                                OptionalLong.empty(),
                                new AccountDirectory(
                                        List.of(
                                                account(LIMITED, 1, quota),
                                                account(
                                                        new AccountName("radio"),
                                                        2,
                                                        Optional.empty()))))));
    }

    private void listServer(String id) {
        handle(
                new ForwardingEvent.ServerListed(
                        new ServerListing(
                                new ServerId(id),
                                RECORDS,
                                "10.0.0.1:80",
                                new FailureDomain("home"),
                                8,
                                ListedState.READY,
                                1,
                                Map.of(),
                                Set.of(),
                                Set.of())));
    }

    private List<ForwardingCommand> arrive(int key, int tokens) {
        lastKey++;
        return handle(
                new ForwardingEvent.RequestArrived(
                        new ForwardRequest(
                                lastKey,
                                "request-" + lastKey,
                                HOST,
                                "/read/1",
                                Optional.of(Duration.ofSeconds(6)),
                                Optional.empty(),
                                new PromptPrefix("", 0, List.of()),
                                tokens,
                                0,
                                -1,
                                lastKey,
                                key(key))));
    }

    private List<ForwardingCommand> grant(int amount) {
        long number = borrower.demands(now).orElseThrow().number();
        Map<AccountName, Integer> granted = amount == 0 ? Map.of() : Map.of(LIMITED, amount);
        borrower.onGrants(LENDER, new AllowanceNotice(number, 1, granted, Map.of()), now);
        return handle(new ForwardingEvent.AllowanceAnswered());
    }

    private static boolean isSent(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Send.class).isPresent();
    }

    private static Optional<RefusalReason> refusal(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Refuse.class).map(each -> each.reason());
    }

    /** Guards against requests that run without allowance, or wait although it has come. */
    @Test
    void requestIsSentWhenGrantArrives() {
        List<ForwardingCommand> commands = arrive(1, 50);
        assertEquals(List.of(new ForwardingCommand.RequestAllowance()), commands);
        assertEquals(1, coordinator.waitingCount());
        assertTrue(isSent(grant(50)));
        assertTrue(!isSent(arrive(1, 1)));
    }

    /** Guards against requests that wait for a planner that does not answer. */
    @Test
    void requestIsRefusedWhenNoGrantArrives() {
        arrive(1, 50);
        now = now.plusMillis(80);
        List<ForwardingCommand> commands = handle(new ForwardingEvent.Tick());
        assertEquals(Optional.of(RefusalReason.QUOTA_EXCEEDED), refusal(commands));
        assertTrue(find(commands, ForwardingCommand.Refuse.class).get().retryAfter().isPresent());
        assertEquals(429, RefusalReason.QUOTA_EXCEEDED.status());
        assertEquals(0, coordinator.pendingCount());
    }

    /** Guards against accounts without a quota that wait for allowance. */
    @Test
    void accountWithoutQuotaIsNotLimited() {
        assertTrue(isSent(arrive(2, 1_000_000)));
    }

    /** Guards against a cost that stays taken although the server did not run the request. */
    @Test
    void costReturnsOnlyIfRequestHasNotRun() {
        grant(50);
        assertTrue(isSent(arrive(1, 50)));
        handle(
                new ForwardingEvent.Rejected(
                        new ForwardAttempt(lastKey, 1), Rejection.BUSY, Optional.empty()));
        advance(300);
        assertTrue(isSent(arrive(1, 50)));
        handle(new ForwardingEvent.Answered(new ForwardAttempt(lastKey, 1), 200, Optional.empty()));
        assertTrue(!isSent(arrive(1, 1)));
    }

    /** Guards against waiting requests whose callers have left and that still take allowance. */
    @Test
    void requestOfCallerThatLeftTakesNothing() {
        arrive(1, 50);
        handle(new ForwardingEvent.CallerDisconnected(lastKey));
        assertTrue(grant(50).isEmpty());
        assertTrue(isSent(arrive(1, 50)));
    }

    // Guards against a request that is refused although the quota it waits for was removed.
    @Test
    void requestIsSentWhenItsQuotaIsRemoved() {
        arrive(1, 50);
        assertTrue(isSent(install(Optional.empty())));
    }

    // Guards against requests for which the lender is not asked: the end of a wait counts for the
    // quota that was set again, which never saw its beginning.
    @Test
    void waitEndsForTheQuotaForWhichItBegan() {
        arrive(1, 50);
        install(Optional.empty());
        install(Optional.of(QUOTA));
        advance(200);
        arrive(1, 40);
        assertEquals(Map.of(LIMITED, 40), borrower.demands(now).orElseThrow().waiting());
    }

    /** Counts what happened to the last request, as its servers and its caller see it. */
    private final class Fate {
        private int sends;
        private int refusedSends;
        private ForwardAttempt attempt = ForwardAttempt.none(lastKey);
        private boolean atServer;
        private boolean ended;

        /** Whether all servers refuse the request, so that it never runs. */
        private final boolean refused;

        private Fate(boolean refused) {
            this.refused = refused;
        }

        private void apply(List<ForwardingCommand> commands) {
            for (ForwardingCommand command : commands) {
                if (command instanceof ForwardingCommand.Send send) {
                    attempt = send.attempt();
                    sends++;
                    atServer = true;
                } else if (command instanceof ForwardingCommand.CancelAttempt) {
                    atServer = false;
                } else {
                    ended |=
                            command instanceof ForwardingCommand.Refuse
                                    || command instanceof ForwardingCommand.Fail
                                    || command instanceof ForwardingCommand.RelayAnswer;
                }
            }
        }

        private void end(ForwardingEvent event) {
            atServer = false;
            apply(handle(event));
        }

        /** Lets one thing happen to the request. */
        private void continueWith(Random random) {
            int choice = refused ? 1 + random.nextInt(7) : random.nextInt(12);
            if (choice == 0) {
                end(new ForwardingEvent.CallerDisconnected(lastKey));
                ended = true;
            } else if (!atServer || choice == 1) {
                now = now.plusMillis(20);
                apply(handle(new ForwardingEvent.Tick()));
            } else if (choice < 8) {
                Rejection[] all = Rejection.values();
                refusedSends++;
                Rejection rejection = all[random.nextInt(all.length)];
                end(new ForwardingEvent.Rejected(attempt, rejection, Optional.empty()));
            } else if (choice < 10) {
                end(new ForwardingEvent.ConnectionBroken(attempt, AnswerProgress.NOTHING));
            } else {
                int status = random.nextBoolean() ? 200 : 500;
                end(new ForwardingEvent.Answered(attempt, status, Optional.empty()));
            }
        }

        /** Repeats the last events of a request that has ended; none may have an effect. */
        private void repeatEvents() {
            assertEquals(
                    List.of(new ForwardingCommand.ReportLateEvent(attempt)),
                    handle(
                            new ForwardingEvent.Rejected(
                                    attempt, Rejection.BUSY, Optional.empty())));
            assertEquals(List.of(), handle(new ForwardingEvent.CallerDisconnected(lastKey)));
        }
    }

    // Guards against a cost that is taken for each send, returned for each refusal, or returned
    // although a server may have run the request.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void eachRequestIsChargedOnceAndOnlyIfItMayHaveRun(long seed) {
        Random random = new Random(seed);
        for (int server = 2; server <= 6; server++) {
            listServer("r" + server);
        }
        int returned = 0;
        int kept = 0;
        int keptAfterRefusal = 0;
        for (int round = 0; round < 200; round++) {
            advance(300);
            grant(0);
            // Nothing of the round before is left.
            advance(400);
            grant(1000);
            Fate fate = new Fate(random.nextInt(3) == 0);
            fate.apply(arrive(1, 100));
            for (int step = 0; step < 20 && !fate.ended; step++) {
                fate.continueWith(random);
            }
            if (!fate.ended) {
                fate.end(new ForwardingEvent.CallerDisconnected(lastKey));
            }
            fate.repeatEvents();
            boolean mayHaveRun = fate.sends > fate.refusedSends;
            int left = mayHaveRun ? 900 : 1000;
            String place = "seed " + seed + ", round " + round + ", sends " + fate.sends;
            assertInstanceOf(TakeResult.Taken.class, borrower.take(LIMITED, left, now), place);
            assertInstanceOf(TakeResult.Wait.class, borrower.take(LIMITED, 1, now), place);
            returned += mayHaveRun ? 0 : 1;
            kept += mayHaveRun ? 1 : 0;
            keptAfterRefusal += mayHaveRun && fate.refusedSends > 0 ? 1 : 0;
        }
        assertTrue(returned > 20 && kept > 20, returned + " returned, " + kept + " kept");
        assertTrue(keptAfterRefusal > 10, keptAfterRefusal + " ran after a refusal");
    }
}
