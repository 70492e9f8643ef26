package org.tarragonlug.decision.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.InstanceId;

/**
 * Gives instances allowance from one token bucket per account, while this instance plans.
 *
 * <p>The buckets refill with the time between two requests of each borrower, divided by the number
 * of all instances. Each instance asks one lender at a time, so however many lenders there are,
 * together they are credited with the time that passes and no more, and each of them gives the part
 * of the rate that its borrowers stand for. The burst is divided likewise. A lender that has just
 * begun has empty buckets, and its borrowers ask it only when no other lender counts them; so it
 * cannot give a second time what its predecessor has given.
 *
 * <p>A message that arrives late credits no more than one that arrives in time, because the time
 * between two requests is measured here and limited ({@link QuotaTimes#MAX_CREDIT}). Work is done
 * only for the accounts that a request names.
 */
public final class QuotaLender {
    private final Optional<QuotaTolerance> tolerance;
    private final InstanceTotal instances;
    private final Map<AccountName, LentAccount> accounts = new HashMap<>();

    /** The time of the last request of each borrower, the oldest first. */
    private final Map<InstanceId, Instant> borrowers = new LinkedHashMap<>();

    /** Time of which this lender gives the rate, in seconds. */
    private double credited;

    /**
     * Creates a lender without accounts.
     *
     * @param tolerance what the platform tolerates; without it the whole rate and burst are given
     * @param instances number of instances among which the whole is divided
     */
    public QuotaLender(Optional<QuotaTolerance> tolerance, InstanceTotal instances) {
        this.tolerance = tolerance;
        this.instances = instances;
    }

    /** Replaces the quotas. Buckets of accounts that stay keep what they hold within the burst. */
    public void onTableInstalled(Map<AccountName, Quota> quotas) {
        accounts.keySet().retainAll(quotas.keySet());
        quotas.forEach(
                (account, quota) -> {
                    QuotaPlan plan = QuotaPlan.of(quota, tolerance);
                    accounts.computeIfAbsent(account, each -> new LentAccount(plan, credited))
                            .setPlan(plan, credited, part());
                });
    }

    /** Forgets all borrowers and empties all buckets, when this instance begins or ends to plan. */
    public void reset() {
        borrowers.clear();
        accounts.values().forEach(account -> account.refill(credited, 0));
    }

    /** Returns the number of borrowers whose requests arrived recently. */
    public int borrowerCount(Instant now) {
        removeSilentBorrowers(now);
        return borrowers.size();
    }

    private void removeSilentBorrowers(Instant now) {
        Iterator<Instant> each = borrowers.values().iterator();
        boolean changed = false;
        while (each.hasNext() && now.isAfter(each.next().plus(QuotaTimes.BORROWER_RETENTION))) {
            each.remove();
            changed = true;
        }
        if (changed) {
            accounts.values().forEach(account -> account.refill(credited, part()));
        }
    }

    /** Returns the part of the whole that the borrowers of this lender stand for, at most 1. */
    private double part() {
        int total = instances.current();
        return total == 0 ? 0 : Math.min(1.0, (double) borrowers.size() / total);
    }

    /** Records a request for allowance: the time that it brings, and who sent it. */
    public void onDemands(InstanceId from, Instant now) {
        removeSilentBorrowers(now);
        Instant before = borrowers.remove(from);
        borrowers.put(from, now);
        if (before != null && instances.current() > 0) {
            Duration time = Duration.between(before, now);
            Duration bounded =
                    time.compareTo(QuotaTimes.MAX_CREDIT) > 0 ? QuotaTimes.MAX_CREDIT : time;
            credited += QuotaTimes.seconds(bounded) / instances.current();
        }
    }

    /** Answers a request for allowance that {@link #onDemands} has recorded. */
    public AllowanceNotice grantsFor(InstanceId to, AllowanceRequest request, Instant now) {
        Map<AccountName, Integer> granted = new HashMap<>();
        Map<AccountName, Integer> waitMillis = new HashMap<>();
        Set<AccountName> named = new LinkedHashSet<>(request.advanced().keySet());
        named.addAll(request.waiting().keySet());
        named.addAll(request.extra().keySet());
        for (AccountName name : named) {
            LentAccount account = accounts.get(name);
            if (account == null) {
                continue;
            }
            LentAccount.Grant grant = grant(account, name, request);
            account.recordShortfall(to, grant.missing(), now);
            if (grant.amount() > 0) {
                granted.put(name, (int) Math.min(grant.amount(), Integer.MAX_VALUE));
            }
            if (grant.missing() > 0) {
                waitMillis.put(name, account.waitMillis(part()));
            }
        }
        return new AllowanceNotice(request.number(), instances.current(), granted, waitMillis);
    }

    private LentAccount.Grant grant(
            LentAccount account, AccountName name, AllowanceRequest request) {
        account.refill(credited, part());
        return account.grant(
                request.advanced().getOrDefault(name, 0),
                request.waiting().getOrDefault(name, 0),
                request.extra().getOrDefault(name, 0));
    }
}
