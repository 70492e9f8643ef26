package org.tarragonlug.decision.quota;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.tarragonlug.id.AccountName;

/**
 * Requests that wait for a grant, for {@link QuotaTimes#MAX_WAIT} at most.
 *
 * @param <T> type of the requests
 */
public final class AllowanceQueue<T> {
    private record Waiting(AccountName account, long cost, Instant end) {}

    /**
     * A request that waits no more.
     *
     * @param request the request
     * @param result whether it may run
     * @param <T> type of the request
     */
    public record Decided<T>(T request, TakeResult result) {}

    private final QuotaBorrower borrower;
    private final Map<T, Waiting> waiting = new LinkedHashMap<>();

    /**
     * Creates an empty queue.
     *
     * @param borrower gives the allowance
     */
    public AllowanceQueue(QuotaBorrower borrower) {
        this.borrower = borrower;
    }

    /** Returns the number of requests that wait. */
    public int size() {
        return waiting.size();
    }

    /**
     * Decides on a request that has just arrived, or lets it wait.
     *
     * @return the decision; empty if the request waits and the lender should be asked at once
     */
    public Optional<TakeResult> offer(T request, AccountName account, long cost, Instant now) {
        TakeResult result = borrower.take(account, cost, now);
        if (!(result instanceof TakeResult.Wait)) {
            return Optional.of(result);
        }
        borrower.startWaiting(account, cost);
        waiting.put(request, new Waiting(account, cost, now.plus(QuotaTimes.MAX_WAIT)));
        return Optional.empty();
    }

    /** Returns and removes the requests on which can be decided now, in the order of arrival. */
    public List<Decided<T>> poll(Instant now) {
        if (waiting.isEmpty()) {
            return List.of();
        }
        List<Decided<T>> decided = new ArrayList<>();
        Iterator<Map.Entry<T, Waiting>> each = waiting.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<T, Waiting> entry = each.next();
            TakeResult result = decide(entry.getValue(), now);
            if (!(result instanceof TakeResult.Wait)) {
                borrower.endWaiting(entry.getValue().account(), entry.getValue().cost());
                decided.add(new Decided<>(entry.getKey(), result));
                each.remove();
            }
        }
        return decided;
    }

    /** A request that waited longer takes nothing any more, as {@link QuotaPlan} assumes. */
    private TakeResult decide(Waiting entry, Instant now) {
        return now.isAfter(entry.end())
                ? borrower.refuse(entry.account(), now)
                : borrower.take(entry.account(), entry.cost(), now);
    }

    /** Removes requests whose callers have left. */
    public void removeIf(Predicate<T> condition) {
        waiting.entrySet().removeIf(entry -> remove(entry, condition));
    }

    private boolean remove(Map.Entry<T, Waiting> entry, Predicate<T> condition) {
        boolean left = condition.test(entry.getKey());
        if (left) {
            borrower.endWaiting(entry.getValue().account(), entry.getValue().cost());
        }
        return left;
    }
}
