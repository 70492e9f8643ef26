package org.tarragonlug.decision.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.InstanceId;

/**
 * The allowance of client accounts at one instance.
 *
 * <p>A request takes its cost from grants of the lender, or in advance from the instance's share of
 * what the platform tolerates beyond the allowance; the next grants cover advances first. So most
 * requests need no message of their own, and the same share serves while no lender is heard: then
 * advances are not covered, and count until no window contains them any more. {@link QuotaPlan}
 * says why grants and advances together stay within the limit.
 *
 * <p>A grant counts only if it answers a request that this process sent less than its lifetime ago
 * by its own clock, so grants of a paused or restarted process have no effect. A process that has
 * just started advances nothing for a window, because its predecessor may have spent its share. The
 * instance reports to one lender at a time. Before it reports to another one, and after its start,
 * it pauses until no earlier lender counts it any more; so the parts of the whole that several
 * lenders give never exceed it.
 */
public final class QuotaBorrower {
    private record SentRequest(Instant at, AllowanceRequest request) {}

    /** How long a request for allowance counts as unanswered rather than lost. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(150);

    /**
     * A lender that has not answered for this long is not asked, so that another one can be asked
     * soon, until {@link #PROBE_AFTER}.
     */
    private static final Duration SILENT_AFTER = Duration.ofMillis(900);

    /**
     * A regular report this soon after a request carries none. Together with the interval of
     * reports this is less than {@link QuotaTimes#MAX_CREDIT}, so no allowance is lost.
     */
    private static final Duration RECENT = Duration.ofMillis(150);

    /** A lender that has been silent for this long is asked again. */
    private static final Duration PROBE_AFTER = Duration.ofMillis(2000);

    /** The longest time for which requests are refused without asking the lender again. */
    private static final Duration MAX_EXHAUSTED = Duration.ofMillis(300);

    /** When callers should come back if nothing is known about the time at which there is room. */
    private static final Duration RETRY_UNKNOWN = Duration.ofMillis(500);

    /**
     * Time from the first request to a lender until it can give anything. A new lender is credited
     * with the time between two regular reports, so that takes two of them.
     */
    private static final Duration FIRST_GRANT = Duration.ofMillis(800);

    /**
     * Callers that are refused before the first grant come back in so many groups, one after
     * another, because the allowance for all of them flows in only over time.
     */
    private static final int RETURN_GROUPS = 10;

    /** Time between the return of two groups. */
    private static final Duration RETURN_INTERVAL = Duration.ofMillis(100);

    /** The shortest time until callers should come back; a shorter one would be written as 0. */
    private static final Duration MIN_RETRY = Duration.ofMillis(50);

    private final Optional<QuotaTolerance> tolerance;
    private final InstanceTotal instances;
    private final Map<AccountName, BorrowedAllowance> accounts = new HashMap<>();

    /** Accounts that hold, owe or expect anything; the others cost no time. */
    private final Set<AccountName> active = new HashSet<>();

    private final Map<Long, SentRequest> sent = new LinkedHashMap<>();
    private final List<QuotaChange> changes = new ArrayList<>();
    private long nextNumber;
    private Instant startedAt;
    private InstanceId lender;
    private Instant mayRequestAt;
    private Instant lastRequestAt;
    private Instant lenderHeardAt = Instant.MIN;
    private Instant observedAt;
    private Instant stalledUntil = Instant.MIN;

    /**
     * Creates a borrower without allowance.
     *
     * @param tolerance what the platform tolerates; without it nothing is advanced, and quotas are
     *     not enforced while no lender is heard
     * @param instances number of instances that share the tolerance
     * @param firstNumber number of the first request; random, so that it differs between processes
     */
    public QuotaBorrower(
            Optional<QuotaTolerance> tolerance, InstanceTotal instances, long firstNumber) {
        this.tolerance = tolerance;
        this.instances = instances;
        this.nextNumber = firstNumber;
    }

    /**
     * Notes that the process runs. Must be called several times within {@link
     * QuotaTimes#MAX_STALL}; a longer time without a call counts as a pause of the process.
     */
    public void onTick(Instant now) {
        if (observedAt != null && now.isAfter(observedAt.plus(QuotaTimes.MAX_STALL))) {
            stalledUntil = now.plus(QuotaTimes.STALL_RECOVERY);
        }
        observedAt = now;
    }

    /** Replaces the quotas. Accounts without a quota are left out. */
    public void onTableInstalled(Map<AccountName, Quota> quotas, Instant now) {
        start(now);
        accounts.forEach(
                (account, allowance) -> {
                    if (!quotas.containsKey(account) && allowance.refused() > 0) {
                        changes.add(new QuotaChange(account, false, allowance.refused()));
                    }
                });
        accounts.keySet().retainAll(quotas.keySet());
        active.retainAll(quotas.keySet());
        quotas.forEach(
                (account, quota) -> {
                    QuotaPlan plan = QuotaPlan.of(quota, tolerance);
                    accounts.computeIfAbsent(account, each -> new BorrowedAllowance(each, plan))
                            .setPlan(plan);
                });
    }

    private void start(Instant now) {
        if (startedAt == null) {
            startedAt = now;
            mayRequestAt = now.plus(QuotaTimes.BORROWER_RETENTION);
        }
    }

    /** Returns whether any account has a quota. */
    public boolean hasQuotas() {
        return !accounts.isEmpty();
    }

    /** Sets the instances that may be asked, as far as known. The present one is kept if it may. */
    public void onLenders(Set<InstanceId> candidates, Instant now) {
        start(now);
        if (lender != null && candidates.contains(lender) && !isSilent(now)) {
            return;
        }
        InstanceId chosen =
                candidates.stream()
                        .filter(each -> candidates.size() == 1 || !each.equals(lender))
                        .min((one, other) -> one.value().compareTo(other.value()))
                        .orElse(null);
        if (chosen == null || chosen.equals(lender)) {
            return;
        }
        mayRequestAt = later(mayRequestAt, now);
        if (lastRequestAt != null) {
            mayRequestAt = later(mayRequestAt, lastRequestAt.plus(QuotaTimes.BORROWER_RETENTION));
        }
        lender = chosen;
        lenderHeardAt = Instant.MIN;
    }

    private boolean isSilent(Instant now) {
        return lenderHeardAt != Instant.MIN && now.isAfter(lenderHeardAt.plus(SILENT_AFTER));
    }

    private boolean isAskingSuspended(Instant now) {
        return isSilent(now) && now.isBefore(lenderHeardAt.plus(PROBE_AFTER));
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    /** Returns the instance that gives allowance to this one; empty if none is known. */
    public Optional<InstanceId> lender() {
        return Optional.ofNullable(lender);
    }

    /** Returns whether the lender has answered recently. */
    public boolean hearsLender(Instant now) {
        return lenderHeardAt != Instant.MIN
                && now.isBefore(lenderHeardAt.plus(QuotaTimes.LENDER_TIMEOUT));
    }

    private boolean mayAskLender(Instant now) {
        boolean pausing = now.plus(QuotaTimes.MAX_WAIT).isBefore(mayRequestAt);
        boolean unanswered =
                lastRequestAt != null
                        && !hearsLender(now)
                        && now.isAfter(mayRequestAt.plus(QuotaTimes.LENDER_TIMEOUT));
        return lender != null && !pausing && !unanswered;
    }

    /** Takes the cost of a request, or says whether the request should wait. */
    public TakeResult take(AccountName account, long cost, Instant now) {
        onTick(now);
        BorrowedAllowance allowance = accounts.get(account);
        boolean enforced = tolerance.isPresent() || hearsLender(now);
        if (allowance == null || !enforced) {
            return new TakeResult.Taken(
                    new QuotaCharge(Optional.empty(), 0, Instant.MIN, 0, false, now));
        }
        active.add(account);
        allowance.expire(now, advanceRetention());
        if (now.isBefore(stalledUntil)) {
            return refuse(account, allowance, now);
        }
        long held = allowance.held();
        if (held >= cost) {
            return new TakeResult.Taken(allowance.take(cost, hearsLender(now), now));
        }
        if (allowance.isExhausted(now)) {
            return refuse(account, allowance, now);
        }
        if (held + advanceRoom(allowance, now) >= cost) {
            return new TakeResult.Taken(allowance.take(cost, hearsLender(now), now));
        }
        return mayAskLender(now) ? new TakeResult.Wait() : refuse(account, allowance, now);
    }

    private long advanceRoom(BorrowedAllowance allowance, Instant now) {
        boolean mayHaveSpentBefore = now.isBefore(startedAt.plus(advanceRetention()));
        return mayHaveSpentBefore ? 0 : allowance.advanceRoom(instances.current());
    }

    private Duration advanceRetention() {
        return tolerance
                .map(QuotaTolerance::window)
                .orElse(Duration.ZERO)
                .plus(QuotaTimes.MAX_WAIT)
                .plus(QuotaTimes.MAX_STALL);
    }

    /** Refuses a request that waited for a grant in vain. */
    public TakeResult.Refused refuse(AccountName account, Instant now) {
        BorrowedAllowance allowance = accounts.get(account);
        return allowance == null
                ? new TakeResult.Refused(RETRY_UNKNOWN)
                : refuse(account, allowance, now);
    }

    private TakeResult.Refused refuse(
            AccountName account, BorrowedAllowance allowance, Instant now) {
        if (allowance.recordRefusal(now)) {
            changes.add(new QuotaChange(account, true, 0));
        }
        Duration room = allowance.timeToRoom(now, advanceRetention());
        if (room.isZero() && lenderHeardAt == Instant.MIN) {
            room = timeToFirstGrant(allowance, now);
        }
        Duration retryAfter = room.isZero() ? RETRY_UNKNOWN : room;
        boolean atOnce = retryAfter.compareTo(MIN_RETRY) < 0;
        return new TakeResult.Refused(atOnce ? MIN_RETRY : retryAfter);
    }

    /** Returns when a caller should come back that is refused while no lender has answered yet. */
    private Duration timeToFirstGrant(BorrowedAllowance allowance, Instant now) {
        Duration pause =
                now.isBefore(mayRequestAt) ? Duration.between(now, mayRequestAt) : Duration.ZERO;
        int group = (int) (allowance.refused() % RETURN_GROUPS);
        return pause.plus(FIRST_GRANT).plus(RETURN_INTERVAL.multipliedBy(group));
    }

    /** Records that a request of this cost waits, so that the lender is asked for it. */
    public void startWaiting(AccountName account, long cost) {
        BorrowedAllowance allowance = accounts.get(account);
        if (allowance != null) {
            active.add(account);
            allowance.startWaiting(cost);
        }
    }

    /** Records that a request of this cost waits no more. */
    public void endWaiting(AccountName account, long cost) {
        BorrowedAllowance allowance = accounts.get(account);
        if (allowance != null) {
            allowance.endWaiting(cost);
        }
    }

    /**
     * Returns what a request has taken that is known not to have run and never will, to the
     * allowance that it was taken from. If that was removed with its quota, it is lost.
     */
    public void giveBack(QuotaCharge charge, Instant now) {
        charge.allowance()
                .filter(this::isInForce)
                .filter(allowance -> charge.markReturned())
                .ifPresent(
                        allowance -> {
                            allowance.expire(now, advanceRetention());
                            allowance.giveBack(charge, now);
                        });
    }

    private boolean isInForce(BorrowedAllowance allowance) {
        return accounts.get(allowance.account()) == allowance;
    }

    /** Returns whether a request was sent so recently that the next report needs none. */
    public boolean asksRecently(Instant now) {
        return lastRequestAt != null && now.isBefore(lastRequestAt.plus(RECENT));
    }

    /**
     * Returns the request for allowance to be sent to the lender now; empty while no account has a
     * quota, no lender is known, or this instance must not report to it yet.
     */
    public Optional<AllowanceRequest> demands(Instant now) {
        onTick(now);
        if (accounts.isEmpty()
                || lender == null
                || now.isBefore(mayRequestAt)
                || isAskingSuspended(now)) {
            return Optional.empty();
        }
        sent.values().removeIf(each -> !now.isBefore(each.at().plus(QuotaTimes.GRANT_LIFETIME)));
        Map<AccountName, Integer> advanced = new HashMap<>();
        Map<AccountName, Integer> waiting = new HashMap<>();
        Map<AccountName, Integer> extra = new HashMap<>();
        active.removeIf(account -> addDemand(account, advanced, waiting, extra, now));
        AllowanceRequest request = new AllowanceRequest(nextNumber, advanced, waiting, extra);
        nextNumber++;
        lastRequestAt = now;
        sent.put(request.number(), new SentRequest(now, request));
        return Optional.of(request);
    }

    /** Adds what an account needs; returns whether nothing is known of it any more. */
    private boolean addDemand(
            AccountName account,
            Map<AccountName, Integer> advanced,
            Map<AccountName, Integer> waiting,
            Map<AccountName, Integer> extra,
            Instant now) {
        BorrowedAllowance allowance = accounts.get(account);
        allowance.expire(now, advanceRetention());
        if (lastRequestAt != null && now.isAfter(lastRequestAt)) {
            allowance.measure(QuotaTimes.seconds(Duration.between(lastRequestAt, now)));
        }
        long refused = allowance.endRefusals(now);
        if (refused > 0) {
            changes.add(new QuotaChange(account, false, refused));
        }
        putIfPositive(
                advanced,
                account,
                allowance.advanced() - unanswered(account, AllowanceRequest::advanced, now));
        putIfPositive(
                waiting,
                account,
                allowance.waiting() - unanswered(account, AllowanceRequest::waiting, now));
        putIfPositive(extra, account, allowance.extra(instances.current()));
        return allowance.isIdle();
    }

    private static void putIfPositive(
            Map<AccountName, Integer> amounts, AccountName account, long amount) {
        if (amount > 0) {
            amounts.put(account, (int) Math.min(amount, Integer.MAX_VALUE));
        }
    }

    private long unanswered(
            AccountName account,
            Function<AllowanceRequest, Map<AccountName, Integer>> amounts,
            Instant now) {
        long sum = 0;
        for (SentRequest each : sent.values()) {
            if (now.isBefore(each.at().plus(ANSWER_TIMEOUT))) {
                sum += amounts.apply(each.request()).getOrDefault(account, 0);
            }
        }
        return sum;
    }

    /**
     * Applies the answer of a lender to a request for allowance.
     *
     * @return whether the answer was in time; a late or unknown one has no effect
     */
    public boolean onGrants(InstanceId from, AllowanceNotice notice, Instant now) {
        SentRequest answered = from.equals(lender) ? sent.remove(notice.number()) : null;
        if (answered == null) {
            return false;
        }
        Instant expiry = answered.at().plus(QuotaTimes.GRANT_LIFETIME);
        if (!now.isBefore(expiry)) {
            return false;
        }
        lenderHeardAt = now;
        instances.onAnnounced(notice.instances(), now);
        AllowanceRequest request = answered.request();
        request.waiting().keySet().forEach(account -> onAnswered(account, notice, now));
        request.advanced().keySet().forEach(account -> onAnswered(account, notice, now));
        notice.granted()
                .forEach(
                        (account, amount) -> {
                            BorrowedAllowance allowance = accounts.get(account);
                            if (allowance != null) {
                                active.add(account);
                                allowance.onGranted(amount, expiry, now);
                            }
                        });
        return true;
    }

    private void onAnswered(AccountName account, AllowanceNotice notice, Instant now) {
        BorrowedAllowance allowance = accounts.get(account);
        if (allowance == null) {
            return;
        }
        Integer waitMillis = notice.waitMillis().get(account);
        if (waitMillis == null) {
            allowance.onRoom();
            return;
        }
        Duration wait = Duration.ofMillis(waitMillis);
        Duration bounded = wait.compareTo(MAX_EXHAUSTED) > 0 ? MAX_EXHAUSTED : wait;
        allowance.onExhausted(now.plus(bounded), now.plus(wait));
    }

    /** Returns the changes since the last call. */
    public List<QuotaChange> pollChanges() {
        List<QuotaChange> polled = List.copyOf(changes);
        changes.clear();
        return polled;
    }
}
