package org.tarragonlug.instance;

import java.util.concurrent.atomic.AtomicLong;
import org.tarragonlug.decision.Invariant;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.Metrics;

/** Counts and logs violated invariants. */
final class InvariantReporter implements InvariantListener {
    private final Metrics metrics;
    private final EventLog log;
    private final AtomicLong count = new AtomicLong();

    InvariantReporter(Metrics metrics, EventLog log) {
        this.metrics = metrics;
        this.log = log;
    }

    long count() {
        return count.get();
    }

    @Override
    public void invariantViolated(Invariant invariant, String detail) {
        count.incrementAndGet();
        metrics.invariantViolations().labelValues(invariant.name()).inc();
        log.event(LogEvent.INVARIANT_VIOLATED)
                .with("invariant", invariant)
                .with("detail", detail)
                .write();
    }
}
