package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.HOST;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
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

/**
 * Many requests of one account at the coordinator, in virtual time: late and repeated grants, lost
 * lenders, changes of the quota, callers that leave, servers that refuse, break off or answer, late
 * events, and a stop. A ledger beside the coordinator says what must be left of the allowance.
 *
 * <p>A round is shorter than the lifetime of a grant, so all units that are granted in it can be
 * spent until its end; the pause after it is longer, so none of them is left in the next one.
 */
class ForwardingQuotaRandomTest {
    private static final AccountName ACCOUNT = new AccountName("press");
    private static final List<InstanceId> LENDERS =
            List.of(new InstanceId("entry-1"), new InstanceId("entry-2"));
    private static final Quota QUOTA = new Quota(QuotaUnit.TOKENS, 100, 100, 20);
    private static final QuotaTolerance NO_ADVANCE =
            new QuotaTolerance(Duration.ofSeconds(8), 0, 0);
    private static final int ROUNDS = 60;
    private static final int ROUND_MILLIS = 480;
    private static final int PAUSE_MILLIS = 1500;
    private static final int MAX_WAIT_MILLIS = 60;
    private static final int GRANT_LIFETIME_MILLIS = 600;

    /** What a request has taken, and what its servers and its caller have seen of it. */
    private final class Request {
        private final long key;
        private final long cost;
        private final Instant arrivedAt = now;

        /** Whether no server runs the request. */
        private final boolean unwanted = random.nextInt(3) == 0;

        private ForwardAttempt attempt;
        private int possibleRuns;
        private boolean sent;
        private boolean atServer;
        private boolean refusedByQuota;
        private boolean ended;

        /** The units that return if the request does not run; none after its allowance is gone. */
        private long taken;

        private Request(long key, long cost) {
            this.key = key;
            this.cost = cost;
            this.attempt = ForwardAttempt.none(key);
        }

        private void end() {
            assertFalse(ended, place + ": request " + key + " ended twice");
            ended = true;
            atServer = false;
            if (possibleRuns == 0) {
                free += taken;
                returned += taken > 0 ? 1 : 0;
            } else {
                kept++;
            }
        }
    }

    private final QuotaBorrower borrower =
            new QuotaBorrower(Optional.of(NO_ADVANCE), new InstanceTotal(), 1);
    private final ForwardingCoordinator coordinator =
            new ForwardingCoordinator(
                    "one",
                    new FailureDomain("home"),
                    String::hashCode,
                    new ForwardingLimits(Duration.ofSeconds(10), 0.2, 10_000, 1),
                    borrower);
    private final Map<Long, Request> requests = new LinkedHashMap<>();

    /** The requests that wait for a grant, in the order of arrival. */
    private final List<Request> queue = new ArrayList<>();

    /** Requests for allowance without an answer, with the instance that was asked. */
    private final Map<Long, InstanceId> unanswered = new LinkedHashMap<>();

    private final Map<Long, Instant> askedAt = new LinkedHashMap<>();
    private final List<AllowanceNotice> answered = new ArrayList<>();
    private Random random;
    private Instant now = Instant.ofEpochSecond(1000);
    private Instant stopAt = Instant.MAX;
    private String place = "start";
    private long version;
    private long lastKey;

    /** Units of the allowance that no request has. */
    private long free;

    private int returned;
    private int kept;
    private int refused;

    static List<Long> seeds() {
        List<Long> seeds = new ArrayList<>();
        for (long seed = 1; seed <= Integer.getInteger("quota.seeds", 20); seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    private static Credential key() {
        return Credential.of(new KeyDigest(new byte[KeyDigest.BYTES]));
    }

    private void install(Optional<Quota> quota) {
        ForwardingRoute route =
                ForwardingFixture.route("/read/", RequestKind.IDEMPOTENT, 2, false, RECORDS);
        ClientAccount account =
                new ClientAccount(
                        ACCOUNT, Set.of(key().digest().orElseThrow()), OptionalInt.empty(), quota);
        version++;
        handle(
                new ForwardingEvent.TableInstalled(
                        new ForwardingTable(
                                new ConfigurationVersion(version),
                                List.of(route),
                                List.of(new ForwardingService(RECORDS, Optional.empty(), 100)),
                                OptionalLong.empty(),
                                new AccountDirectory(List.of(account)))));
    }

    /** Lists a server under an id; a further listing is a new run of it. */
    private void list(int number, long startedMillis) {
        handle(
                new ForwardingEvent.ServerListed(
                        new ServerListing(
                                new ServerId("r" + number),
                                RECORDS,
                                "10.0.0.1:" + (80 + number),
                                new FailureDomain("home"),
                                8,
                                ListedState.READY,
                                startedMillis,
                                Map.of(),
                                Set.of(),
                                Set.of())));
    }

    private List<ForwardingCommand> handle(ForwardingEvent event) {
        List<ForwardingCommand> commands = coordinator.handle(event, now);
        commands.forEach(this::apply);
        return commands;
    }

    private void apply(ForwardingCommand command) {
        if (command instanceof ForwardingCommand.Send send) {
            Request request = requests.get(send.attempt().request());
            assertFalse(request.ended, place + ": sent after its end");
            assertFalse(request.refusedByQuota, place + ": sent after a refusal for its quota");
            request.attempt = send.attempt();
            request.possibleRuns++;
            request.sent = true;
            request.atServer = true;
            assertFalse(queue.contains(request), place + ": sent beyond the allowance");
        } else if (command instanceof ForwardingCommand.Refuse refuse) {
            onRefused(requests.get(refuse.request()), refuse.reason());
        } else if (command instanceof ForwardingCommand.Fail fail) {
            requests.get(fail.request()).end();
        } else if (command instanceof ForwardingCommand.RelayAnswer answer) {
            requests.get(answer.request()).end();
        } else if (command instanceof ForwardingCommand.CancelAttempt cancel) {
            requests.get(cancel.request()).atServer = false;
        }
    }

    private void onRefused(Request request, RefusalReason reason) {
        assertEquals(0, request.possibleRuns, place + ": refused though it may have run");
        if (reason == RefusalReason.QUOTA_EXCEEDED) {
            assertFalse(request.sent, place + ": refused for its quota after it was sent");
            request.refusedByQuota = true;
            refused++;
            assertTrue(queue.remove(request), place + ": refused within the allowance");
        }
        request.end();
    }

    private void charge(Request request) {
        request.taken = request.cost;
        free -= request.taken;
        assertTrue(free >= 0, place + ": more was taken than granted");
    }

    private void arrive() {
        lastKey++;
        Request request = new Request(lastKey, 1 + random.nextInt(60));
        requests.put(lastKey, request);
        long freeBefore = free;
        ForwardRequest arrived =
                new ForwardRequest(
                        lastKey,
                        "request-" + lastKey,
                        HOST,
                        "/read/1",
                        Optional.of(Duration.ofSeconds(6)),
                        Optional.empty(),
                        new PromptPrefix("", 0, List.of()),
                        (int) request.cost,
                        0,
                        -1,
                        lastKey,
                        key());
        if (!now.isBefore(stopAt)) {
            handle(new ForwardingEvent.RequestArrived(arrived));
            assertTrue(request.ended && !request.refusedByQuota, place);
            return;
        }
        boolean within = free >= request.cost;
        if (within) {
            charge(request);
        } else {
            queue.add(request);
        }
        List<ForwardingCommand> commands = handle(new ForwardingEvent.RequestArrived(arrived));
        boolean waits = !within && !request.refusedByQuota;
        assertEquals(waits, commands.contains(new ForwardingCommand.RequestAllowance()), place);
    }

    private boolean mayWait(Request request) {
        return !now.isAfter(request.arrivedAt.plusMillis(MAX_WAIT_MILLIS));
    }

    /** Charges the waiting requests that can be paid, as the next decision on them does. */
    private void chargeWaiting() {
        for (Request each : List.copyOf(queue)) {
            if (free >= each.cost && mayWait(each)) {
                queue.remove(each);
                charge(each);
            }
        }
    }

    private void ask() {
        InstanceId asked = borrower.lender().orElse(LENDERS.get(0));
        borrower.demands(now)
                .ifPresent(
                        request -> {
                            unanswered.put(request.number(), asked);
                            askedAt.put(request.number(), now);
                        });
    }

    /** Answers a request for allowance, perhaps too late, or once more. */
    private void grant(int amount) {
        if (!answered.isEmpty() && random.nextInt(4) == 0) {
            AllowanceNotice copy = answered.get(random.nextInt(answered.size()));
            assertFalse(borrower.onGrants(LENDERS.get(random.nextInt(2)), copy, now), place);
            chargeWaiting();
            handle(new ForwardingEvent.AllowanceAnswered());
        }
        if (unanswered.isEmpty()) {
            return;
        }
        List<Long> numbers = List.copyOf(unanswered.keySet());
        long number = numbers.get(random.nextInt(numbers.size()));
        InstanceId from = unanswered.remove(number);
        AllowanceNotice notice = new AllowanceNotice(number, 1, Map.of(ACCOUNT, amount), Map.of());
        boolean counts =
                borrower.lender().filter(from::equals).isPresent()
                        && now.isBefore(askedAt.get(number).plusMillis(GRANT_LIFETIME_MILLIS));
        assertEquals(counts, borrower.onGrants(from, notice, now), place);
        answered.add(notice);
        if (counts) {
            free += amount;
            chargeWaiting();
            handle(new ForwardingEvent.AllowanceAnswered());
        }
    }

    private void changeQuota() {
        if (random.nextBoolean()) {
            chargeWaiting();
            install(Optional.of(QUOTA));
            return;
        }
        // What has not waited too long passes without a cost.
        queue.removeIf(this::mayWait);
        install(Optional.empty());
        install(Optional.of(QUOTA));
        // Nothing of what was held or taken belongs to the quota that is set now.
        free = 0;
        requests.values().forEach(request -> request.taken = 0);
    }

    private Optional<Request> any(Predicate<Request> condition) {
        List<Request> found = requests.values().stream().filter(condition).toList();
        return found.isEmpty()
                ? Optional.empty()
                : Optional.of(found.get(random.nextInt(found.size())));
    }

    private void leave(Request request) {
        queue.remove(request);
        handle(new ForwardingEvent.CallerDisconnected(request.key));
        if (!request.ended) {
            request.end();
        }
    }

    private void reject(Request request) {
        Rejection[] all = Rejection.values();
        request.atServer = false;
        request.possibleRuns--;
        handle(
                new ForwardingEvent.Rejected(
                        request.attempt, all[random.nextInt(all.length)], Optional.empty()));
    }

    private void rejectAlways(Request request) {
        while (request.atServer) {
            reject(request);
        }
    }

    private void finish(Request request) {
        request.atServer = false;
        handle(
                random.nextInt(3) == 0
                        ? new ForwardingEvent.ConnectionBroken(
                                request.attempt, AnswerProgress.NOTHING)
                        : new ForwardingEvent.Answered(
                                request.attempt,
                                random.nextBoolean() ? 200 : 500,
                                Optional.empty()));
    }

    /** Repeats an event of a send that has ended; it may have no effect. */
    private void repeatEvent(Request request) {
        ForwardAttempt late = request.attempt;
        List<ForwardingCommand> commands =
                handle(
                        random.nextBoolean()
                                ? new ForwardingEvent.Rejected(
                                        late, Rejection.BUSY, Optional.empty())
                                : new ForwardingEvent.Answered(late, 200, Optional.empty()));
        assertEquals(List.of(new ForwardingCommand.ReportLateEvent(late)), commands, place);
    }

    private void step() {
        switch (random.nextInt(24)) {
            case 0, 1, 2, 3, 4, 5 -> arrive();
            case 6, 7 -> any(each -> each.atServer && each.unwanted).ifPresent(this::rejectAlways);
            case 8, 9 -> any(each -> each.atServer).ifPresent(this::reject);
            case 10, 11 -> any(each -> each.atServer && !each.unwanted).ifPresent(this::finish);
            case 12, 13 -> any(each -> !each.ended).ifPresent(this::leave);
            case 14 -> any(each -> each.sent && !each.atServer).ifPresent(this::repeatEvent);
            case 15, 16 -> ask();
            case 17, 18, 19 -> grant(1 + random.nextInt(120));
            case 20 -> list(random.nextInt(8), version * 1000 + lastKey);
            case 21 -> {
                if (random.nextInt(8) == 0) {
                    changeQuota();
                }
            }
            default -> {
                chargeWaiting();
                handle(new ForwardingEvent.Tick());
            }
        }
    }

    /** Lets time pass without grants; what was granted before expires. */
    private void pass(int millis) {
        for (int left = millis; left > 0; left -= 20) {
            now = now.plusMillis(20);
            handle(new ForwardingEvent.Tick());
        }
    }

    private void beginRound() {
        pass(PAUSE_MILLIS);
        free = 0;
        requests.values().removeIf(request -> request.ended);
        requests.values().forEach(request -> request.taken = 0);
        queue.clear();
        unanswered.clear();
        answered.clear();
        // A lender that is lost is replaced; answers of the earlier one are too late.
        borrower.onLenders(Set.of(LENDERS.get(random.nextInt(2))), now);
        pass(1000);
        ask();
        grant(200 + random.nextInt(400));
    }

    private void checkRest() {
        if (free > 0) {
            assertInstanceOf(
                    TakeResult.Taken.class, borrower.take(ACCOUNT, free, now), place + ": free");
        }
        TakeResult further = borrower.take(ACCOUNT, 1, now);
        assertFalse(further instanceof TakeResult.Taken, place + ": more than " + free + " free");
    }

    // Guards against a cost that is taken or returned twice, returned though a server may have run
    // the request, kept though none has, or returned to a later quota; against a request that runs
    // after a refusal for its quota, and against a refusal of one that may have run.
    @ParameterizedTest
    @MethodSource("seeds")
    void whatIsLeftIsWhatRequestsThatMayHaveRunDidNotTake(long seed) {
        random = new Random(seed);
        install(Optional.of(QUOTA));
        for (int server = 0; server < 8; server++) {
            list(server, 1);
        }
        for (int round = 0; round < ROUNDS; round++) {
            beginRound();
            boolean stops = round == ROUNDS - 1;
            Instant end = now.plusMillis(ROUND_MILLIS);
            for (int step = 0; now.isBefore(end); step++) {
                place = "seed " + seed + ", round " + round + ", step " + step;
                if (stops && step == 20) {
                    stopAt = now.plusMillis(200);
                    handle(new ForwardingEvent.StopScheduled(stopAt));
                }
                if (stops && step == 40) {
                    handle(new ForwardingEvent.QueueClosed());
                }
                step();
                now = now.plusMillis(random.nextInt(6));
            }
            checkRest();
        }
        String counts = returned + " returned, " + kept + " kept, " + refused + " refused";
        assertTrue(returned > 50 && kept > 50 && refused > 20, counts);
    }
}
