package org.tarragonlug.decision.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.account.QuotaUnit;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.InstanceId;

/**
 * Random requests, returns, grants and changes of the quota at one instance, against a ledger that
 * follows each single unit.
 */
class QuotaChargesTest {
    private static final AccountName ACCOUNT = new AccountName("press");
    private static final InstanceId LENDER = new InstanceId("entry-1");
    private static final InstanceId OTHER = new InstanceId("entry-2");
    private static final Quota QUOTA = new Quota(QuotaUnit.REQUESTS, 100, 100, 1);
    private static final QuotaTolerance TOLERANCE =
            new QuotaTolerance(Duration.ofSeconds(8), 0.1, 1000);

    /** The advance that each of 10 instances may have made at any time. */
    private static final int SHARE = 93;

    /** Time for which an advance counts that no grant covers. */
    private static final Duration ADVANCE_RETENTION = Duration.ofMillis(8360);

    private static final int STEPS = 4000;

    /** One unit that a request has taken; it has no expiry while no grant has paid for it. */
    private static final class Unit {
        private final Instant takenAt;
        private final boolean advanced;
        private Instant expiry;

        private Unit(Instant takenAt, Instant expiry) {
            this.takenAt = takenAt;
            this.expiry = expiry;
            this.advanced = expiry == null;
        }
    }

    /** A request that has been charged. */
    private static final class Request {
        private final QuotaCharge charge;
        private final List<Unit> units;
        private boolean returned;

        private Request(QuotaCharge charge, List<Unit> units) {
            this.charge = charge;
            this.units = units;
        }

        /** Returns the units that grants paid for, either before or after the request. */
        private List<Unit> paid(boolean afterwards) {
            return units.stream()
                    .filter(unit -> unit.advanced == afterwards && unit.expiry != null)
                    .toList();
        }
    }

    private final List<Request> requests = new ArrayList<>();
    private final Map<Long, Instant> unanswered = new LinkedHashMap<>();
    private final List<AllowanceNotice> answered = new ArrayList<>();

    /** The expiries of the units that are held. */
    private final List<Instant> free = new ArrayList<>();

    /** The units that no grant has paid for, in the order in which they were taken. */
    private final List<Unit> advances = new ArrayList<>();

    private Random random;
    private Instant now = Instant.ofEpochSecond(1000);
    private QuotaBorrower borrower;
    private String step;

    static List<Long> seeds() {
        List<Long> seeds = new ArrayList<>();
        for (long seed = 1; seed <= Integer.getInteger("quota.seeds", 20); seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    private void start() {
        borrower = new QuotaBorrower(Optional.of(TOLERANCE), new InstanceTotal(), 7);
        borrower.onTableInstalled(Map.of(ACCOUNT, QUOTA), now);
        borrower.onLenders(Set.of(LENDER), now);
        for (int second = 0; second < 30; second++) {
            pass(900);
            borrower.onGrants(
                    LENDER,
                    new AllowanceNotice(
                            borrower.demands(now).orElseThrow().number(), 10, Map.of(), Map.of()),
                    now);
        }
    }

    private void pass(int millis) {
        for (int left = millis; left > 0; left -= 100) {
            now = now.plusMillis(Math.min(100, left));
            borrower.onTick(now);
        }
    }

    private void expire() {
        free.removeIf(expiry -> !now.isBefore(expiry));
        advances.removeIf(unit -> now.isAfter(unit.takenAt.plus(ADVANCE_RETENTION)));
    }

    private void take() {
        int cost = 1 + random.nextInt(40);
        TakeResult result = borrower.take(ACCOUNT, cost, now);
        expire();
        boolean fits = free.size() + Math.max(0, SHARE - advances.size()) >= cost;
        assertEquals(fits, result instanceof TakeResult.Taken, step);
        if (result instanceof TakeResult.Taken taken) {
            free.sort(null);
            List<Unit> units = new ArrayList<>();
            for (int unit = 0; unit < cost; unit++) {
                units.add(new Unit(now, free.isEmpty() ? null : free.remove(0)));
            }
            units.stream().filter(unit -> unit.advanced).forEach(advances::add);
            requests.add(new Request(taken.charge(), units));
        }
    }

    /** Returns a request, perhaps one that has been returned before. */
    private void giveBack() {
        if (requests.isEmpty()) {
            return;
        }
        Request request = requests.get(random.nextInt(requests.size()));
        borrower.giveBack(request.charge, now);
        if (request.returned) {
            return;
        }
        request.returned = true;
        expire();
        advances.removeAll(request.units);
        returnUnits(request.paid(false));
        returnUnits(request.paid(true));
    }

    /** Returns units as they are returned together: until the first of their grants expires. */
    private void returnUnits(List<Unit> units) {
        units.stream()
                .map(unit -> unit.expiry)
                .min(Comparator.naturalOrder())
                .filter(now::isBefore)
                .ifPresent(expiry -> units.forEach(unit -> free.add(expiry)));
    }

    private void ask() {
        borrower.demands(now)
                .ifPresent(
                        request -> {
                            unanswered.put(request.number(), now);
                            expire();
                        });
    }

    /** Answers a request for allowance, also as another instance and once more. */
    private void grant() {
        if (!answered.isEmpty() && random.nextInt(4) == 0) {
            AllowanceNotice copy = answered.get(random.nextInt(answered.size()));
            assertFalse(borrower.onGrants(LENDER, copy, now), step);
            return;
        }
        if (unanswered.isEmpty()) {
            return;
        }
        List<Long> numbers = List.copyOf(unanswered.keySet());
        long number = numbers.get(random.nextInt(numbers.size()));
        Instant expiry = unanswered.remove(number).plus(QuotaTimes.GRANT_LIFETIME);
        int amount = 1 + random.nextInt(60);
        AllowanceNotice notice = new AllowanceNotice(number, 10, Map.of(ACCOUNT, amount), Map.of());
        assertFalse(borrower.onGrants(OTHER, notice, now), step);
        boolean inTime = now.isBefore(expiry);
        assertEquals(inTime, borrower.onGrants(LENDER, notice, now), step);
        if (inTime) {
            answered.add(notice);
            for (int unit = 0; unit < amount; unit++) {
                spend(expiry);
            }
        }
    }

    private void spend(Instant expiry) {
        if (advances.isEmpty()) {
            free.add(expiry);
        } else {
            advances.remove(0).expiry = expiry;
        }
    }

    private void replaceQuota() {
        borrower.onTableInstalled(Map.of(), now);
        borrower.onTableInstalled(Map.of(ACCOUNT, QUOTA), now);
        free.clear();
        advances.clear();
        // What was taken from the earlier allowance is returned to none.
        requests.forEach(request -> request.returned = true);
    }

    // Guards against requests that are charged twice, or whose cost is given back twice or to
    // another allowance, and against grants that count twice.
    @ParameterizedTest
    @MethodSource("seeds")
    void eachUnitIsSpentOnce(long seed) {
        random = new Random(seed);
        start();
        for (int number = 0; number < STEPS; number++) {
            step = "seed " + seed + ", step " + number;
            pass(random.nextInt(4) == 0 ? random.nextInt(300) : random.nextInt(20));
            switch (random.nextInt(20)) {
                case 0, 1, 2, 3, 4, 5, 6 -> take();
                case 7, 8, 9, 10, 11 -> giveBack();
                case 12, 13, 14 -> ask();
                case 15, 16, 17, 18 -> grant();
                default -> {
                    if (random.nextInt(10) == 0) {
                        replaceQuota();
                    }
                }
            }
            if (requests.size() > 50) {
                requests.remove(0);
            }
        }
        assertTrue(answered.size() > STEPS / 50, answered.size() + " grants");
    }
}
