package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.ServiceName;

/** The retry budget of each service. */
final class RetryBudgets {
    private final ForwardingLimits limits;
    private final InstanceCount instances;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

    RetryBudgets(ForwardingLimits limits) {
        this.limits = limits;
        this.instances = new InstanceCount(limits.instances());
    }

    /** Records how many instances share the fixed allowance. */
    void onInstancesCounted(int count, Instant now) {
        instances.update(count, now);
    }

    /** Counts the first send of a request to the service. */
    void recordFirstSend(ServiceName service, Instant now) {
        budget(service).recordFirstSend(now);
    }

    /** Takes one retry from the service's budget; returns false if none is left. */
    boolean tryAcquire(ServiceName service, Instant now) {
        return budget(service).tryAcquire(now);
    }

    private RetryBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(
                service,
                each ->
                        new RetryBudget(
                                limits.retryWindow(),
                                limits.retryRatio(),
                                limits.retryAllowance(),
                                instances));
    }
}
