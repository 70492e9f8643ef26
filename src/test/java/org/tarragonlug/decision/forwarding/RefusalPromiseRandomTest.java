package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.HOST;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tarragonlug.decision.account.AccountDirectory;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.decision.account.Credential;
import org.tarragonlug.decision.account.KeyDigest;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.PromptPartId;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerId;

/** Many requests in random orders of events. What servers may have run is counted here anew. */
class RefusalPromiseRandomTest {
    private static final int EVENTS = 1500;
    private static final List<String> SERVERS = List.of("a", "bb", "ccc", "dddd");
    private static final List<String> PATHS =
            List.of("/ask/1", "/score/1", "/issue/1", "/read/1", "/none/1");
    private static final Set<String> RUN_ONCE = Set.of("/score/1", "/issue/1");
    private static final Set<String> STREAMS = Set.of("/ask/1", "/score/1");
    private static final RequestTrait TRAIT = new RequestTrait(RequestTrait.Kind.PART, "part");

    /** What is known of a request from outside of the coordinator. */
    private static final class Request {
        private final String path;
        private final List<ForwardAttempt> attempts = new ArrayList<>();
        private final List<ForwardAttempt> underWay = new ArrayList<>();
        private int possibleRuns;
        private boolean streamStarted;
        private int ends;

        Request(String path) {
            this.path = path;
        }

        boolean runsOnce() {
            return RUN_ONCE.contains(path);
        }

        boolean isStream() {
            return STREAMS.contains(path);
        }
    }

    private final ForwardingFixture fixture = new ForwardingFixture();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private Random random;
    private long version;

    private static Credential key(int value) {
        byte[] bytes = new byte[KeyDigest.BYTES];
        bytes[0] = (byte) value;
        return Credential.of(new KeyDigest(bytes));
    }

    private void handle(ForwardingEvent event) {
        fixture.handle(event).forEach(this::check);
    }

    private void check(ForwardingCommand command) {
        if (command instanceof ForwardingCommand.Send send) {
            Request request = requests.get(send.request());
            assertEquals(0, request.ends, "sent after its end");
            int attempts = request.underWay.size();
            assertTrue(attempts < (request.runsOnce() ? 1 : 2), "at too many servers at once");
            boolean mayHaveRun = request.possibleRuns > 0;
            assertFalse(request.runsOnce() && mayHaveRun, "sent again though it may have run");
            request.possibleRuns++;
            request.underWay.add(send.attempt());
            request.attempts.add(send.attempt());
        } else if (command instanceof ForwardingCommand.CancelAttempt cancel) {
            assertTrue(requests.get(cancel.request()).underWay.remove(cancel.attempt()));
        } else if (command instanceof ForwardingCommand.Refuse refuse) {
            Request request = requests.get(refuse.request());
            String text = refuse.reason() + " of a request that may have run";
            assertEquals(0, request.possibleRuns, text);
            assertFalse(request.streamStarted, text);
            end(request);
        } else if (command instanceof ForwardingCommand.Fail fail) {
            end(requests.get(fail.request()));
        } else if (command instanceof ForwardingCommand.RelayAnswer answer) {
            end(requests.get(answer.request()));
        }
    }

    private static void end(Request request) {
        request.ends++;
        assertEquals(1, request.ends, "ended twice");
        assertEquals(List.of(), request.underWay, "ended while a server has it");
    }

    private <T> T any(List<T> from) {
        return from.get(random.nextInt(from.size()));
    }

    private void arrive() {
        long key = requests.size() + 1;
        Request request = new Request(any(PATHS));
        requests.put(key, request);
        boolean needsModel = request.isStream();
        List<PromptPartId> parts =
                random.nextInt(4) == 0 ? List.of(new PromptPartId("part")) : List.of();
        handle(
                new ForwardingEvent.RequestArrived(
                        new ForwardRequest(
                                key,
                                "request-" + key,
                                HOST,
                                request.path,
                                Optional.of(Duration.ofMillis(500 + random.nextInt(6000))),
                                needsModel ? Optional.of(ModelKey.parse("m")) : Optional.empty(),
                                new PromptPrefix("p", 10, parts),
                                10,
                                10,
                                -1,
                                key,
                                key(random.nextInt(3)))));
    }

    private void changeServer() {
        String id = any(SERVERS);
        if (random.nextInt(4) == 0) {
            handle(new ForwardingEvent.ServerUnlisted(new ServerId(id)));
            return;
        }
        handle(
                new ForwardingEvent.ServerListed(
                        new ServerListing(
                                new ServerId(id),
                                id.length() % 2 == 0 ? ENGINES : RECORDS,
                                "10.0.0.1:" + id.length(),
                                new FailureDomain("home"),
                                8,
                                random.nextInt(5) == 0 ? ListedState.LEAVING : ListedState.READY,
                                1 + random.nextInt(3),
                                random.nextInt(4) == 0 ? Map.of() : Map.of("m", Set.of()),
                                Set.of(),
                                Set.of())));
    }

    /** Lets something happen to a server's part of a request; sometimes of one that has ended. */
    private void happenAtServer() {
        List<Request> sent =
                requests.values().stream()
                        .filter(each -> !each.attempts.isEmpty())
                        .filter(each -> !each.underWay.isEmpty() || random.nextInt(20) == 0)
                        .toList();
        if (sent.isEmpty()) {
            return;
        }
        Request request = any(sent);
        ForwardAttempt attempt = any(request.attempts);
        boolean anyAttempt = request.underWay.isEmpty() || random.nextInt(4) == 0;
        attempt = anyAttempt ? attempt : any(request.underWay);
        boolean current = request.underWay.contains(attempt);
        int kind = random.nextInt(8);
        if (kind >= 4) {
            request.underWay.remove(attempt);
        }
        switch (kind) {
            case 0, 1 -> {
                request.streamStarted |= current && request.isStream();
                handle(
                        request.isStream()
                                ? new ForwardingEvent.StreamStarted(attempt, Optional.empty())
                                : new ForwardingEvent.ServerNoticed(attempt, ServerNotice.NONE));
                if (current && request.isStream()) {
                    assertEquals(List.of(attempt), request.underWay, "two servers answer it");
                }
            }
            case 2 ->
                    handle(
                            new ForwardingEvent.ServerNoticed(
                                    attempt,
                                    new ServerNotice(
                                            random.nextInt(5) == 0,
                                            Optional.of(Duration.ofMillis(random.nextInt(900))))));
            case 3 -> handle(new ForwardingEvent.EventRelayed(attempt, random.nextInt(9)));
            case 4 -> {
                boolean failed = random.nextBoolean();
                handle(new ForwardingEvent.Answered(attempt, failed ? 500 : 200, Optional.empty()));
            }
            case 5 -> handle(new ForwardingEvent.AnsweredAmbiguously(attempt, Optional.empty()));
            case 6 ->
                    handle(
                            new ForwardingEvent.ConnectionBroken(
                                    attempt, any(Arrays.asList(AnswerProgress.values()))));
            default -> {
                request.possibleRuns -= current ? 1 : 0;
                Rejection rejection = any(Arrays.asList(Rejection.values()));
                handle(new ForwardingEvent.Rejected(attempt, rejection, Optional.empty()));
            }
        }
    }

    /** Installs routes; with accounts, of which one key is known, or without. */
    private void installTable() {
        version++;
        List<ForwardingRoute> routes = new ArrayList<>();
        routes.add(ForwardingFixture.route("/ask/", RequestKind.STREAMING, 2, true, ENGINES));
        routes.add(ForwardingFixture.route("/score/", RequestKind.STREAMING, 2, false, ENGINES));
        routes.add(
                ForwardingFixture.route("/issue/", RequestKind.NON_IDEMPOTENT, 2, false, RECORDS));
        routes.add(ForwardingFixture.route("/read/", RequestKind.IDEMPOTENT, 2, false, RECORDS));
        if (random.nextInt(4) == 0) {
            routes.remove(random.nextInt(routes.size()));
        }
        List<ClientAccount> accounts = new ArrayList<>();
        for (int known = 1; known <= random.nextInt(4); known++) {
            accounts.add(
                    new ClientAccount(
                            new AccountName("account-" + known),
                            Set.of(key(known).digest().orElseThrow()),
                            OptionalInt.empty(),
                            Optional.empty()));
        }
        handle(
                new ForwardingEvent.TableInstalled(
                        new ForwardingTable(
                                new ConfigurationVersion(version),
                                routes,
                                List.copyOf(ForwardingFixture.table(1).services().values()),
                                OptionalLong.empty(),
                                new AccountDirectory(accounts))));
    }

    private void pass(long millis) {
        fixture.now = fixture.now.plusMillis(millis);
        handle(new ForwardingEvent.Tick());
    }

    private void happen() {
        int kind = random.nextInt(100);
        if (kind < 22) {
            arrive();
        } else if (kind < 58) {
            happenAtServer();
        } else if (kind < 66) {
            changeServer();
        } else if (kind < 88) {
            pass(20);
        } else if (kind == 88) {
            pass(random.nextInt(8000));
        } else if (kind < 91 && !requests.isEmpty()) {
            disconnect();
        } else if (kind < 93) {
            boolean quarantined = random.nextBoolean();
            handle(new ForwardingEvent.QuarantineChanged(quarantined ? Set.of(TRAIT) : Set.of()));
        } else if (kind == 93) {
            handle(new ForwardingEvent.TrialAllowed(TRAIT));
        } else if (kind < 96) {
            handle(
                    new ForwardingEvent.ModelReadyExpected(
                            ENGINES,
                            ModelKey.parse("m"),
                            fixture.now.plusMillis(random.nextInt(9000))));
        } else if (kind < 98) {
            handle(new ForwardingEvent.ConfigurationRead(random.nextBoolean()));
        } else {
            installTable();
        }
    }

    private void disconnect() {
        long key = 1 + random.nextInt(requests.size());
        Request request = requests.get(key);
        if (request.ends == 0) {
            request.ends = 1;
            handle(new ForwardingEvent.CallerDisconnected(key));
        }
    }

    static List<Integer> seeds() {
        int last = Integer.getInteger("promise.seeds", 40);
        List<Integer> seeds = new ArrayList<>();
        for (int seed = 1; seed <= last; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    // Guards against any order of events in which a request is refused as not run although a server
    // may have run it, is sent after its refusal, is sent again though it must run once, is at two
    // servers, or ends not once.
    @ParameterizedTest
    @MethodSource("seeds")
    void refusedRequestsHaveNotRunAndAreNotSentAgain(int seed) {
        random = new Random(seed);
        for (int number = 0; number < EVENTS; number++) {
            happen();
        }
        handle(new ForwardingEvent.StopScheduled(fixture.now.plusSeconds(2)));
        for (int number = 0; number < EVENTS / 10; number++) {
            happen();
        }
        handle(new ForwardingEvent.QueueClosed());
        for (int number = 0; number < 600; number++) {
            pass(20);
        }
        assertTrue(requests.values().stream().allMatch(each -> each.ends == 1), "not ended");
    }
}
