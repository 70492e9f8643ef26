package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tarragonlug.decision.account.AccountDirectory;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.quota.AllowanceQueue;
import org.tarragonlug.decision.quota.QuotaBorrower;
import org.tarragonlug.decision.quota.TakeResult;

/**
 * Lets requests pass whose account has allowance left.
 *
 * <p>A request takes its cost when it arrives, and may wait for a moment until the lender has
 * granted it. It returns the cost if it ends without having run. Requests without an account, and
 * those of accounts without a quota, pass at once.
 */
final class AllowanceGate {
    private final QuotaBorrower borrower;
    private final AllowanceQueue<PendingForward> queue;
    private final Consumer<ForwardingCommand> output;
    private final BiConsumer<PendingForward, Instant> admitted;

    /**
     * Creates a gate without quotas.
     *
     * @param borrower holds the allowance of this instance
     * @param output receives the commands to ask for allowance and to refuse requests
     * @param admitted called with requests that may pass
     */
    AllowanceGate(
            QuotaBorrower borrower,
            Consumer<ForwardingCommand> output,
            BiConsumer<PendingForward, Instant> admitted) {
        this.borrower = borrower;
        this.queue = new AllowanceQueue<>(borrower);
        this.output = output;
        this.admitted = admitted;
    }

    /**
     * Replaces the quotas. Requests whose quota has been removed pass at once, so that no wait for
     * an allowance outlasts it.
     */
    void install(AccountDirectory accounts, Instant now) {
        borrower.onTableInstalled(accounts.quotas(), now);
        decideWaiting(now);
    }

    /** Returns the number of requests that wait for allowance. */
    int waitingCount() {
        return queue.size();
    }

    /** Lets a request pass or wait, or refuses it. */
    void offer(PendingForward forward, Instant now) {
        Optional<Quota> quota = forward.account.flatMap(ClientAccount::quota);
        if (quota.isEmpty()) {
            admitted.accept(forward, now);
            return;
        }
        ForwardRequest request = forward.request;
        long cost =
                quota.get()
                        .unit()
                        .cost(
                                request.promptTokens(),
                                request.outputTokens(),
                                quota.get().defaultCost());
        Optional<TakeResult> result = queue.offer(forward, forward.account.get().name(), cost, now);
        if (result.isPresent()) {
            apply(forward, result.get(), now);
        } else {
            output.accept(new ForwardingCommand.RequestAllowance());
        }
    }

    private void apply(PendingForward forward, TakeResult result, Instant now) {
        if (result instanceof TakeResult.Taken taken) {
            forward.charge = Optional.of(taken.charge());
            admitted.accept(forward, now);
        } else if (result instanceof TakeResult.Refused refused) {
            refuse(forward, refused.retryAfter());
        }
    }

    private void refuse(PendingForward forward, Duration retryAfter) {
        output.accept(
                new ForwardingCommand.Refuse(
                        forward.request.key(),
                        RefusalReason.QUOTA_EXCEEDED,
                        Optional.of(retryAfter)));
    }

    /** Decides again on the requests that wait, after a grant or when time has passed. */
    void decideWaiting(Instant now) {
        queue.poll(now).forEach(each -> apply(each.request(), each.result(), now));
    }

    /** Notes that time passes, without which a pause of the process would be assumed. */
    void tick(Instant now) {
        borrower.onTick(now);
        decideWaiting(now);
    }

    /** Forgets a request whose caller has left. */
    void forget(long key) {
        queue.removeIf(forward -> forward.request.key() == key);
    }

    /** Returns the cost of a request that has ended without having run. */
    void onNotRun(PendingForward forward, Instant now) {
        forward.charge.ifPresent(charge -> borrower.giveBack(charge, now));
    }
}
