package org.tarragonlug.instance;

import org.tarragonlug.decision.Invariant;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.Metrics;

/** Counts and logs violated invariants. */
final class InvariantReporter implements InvariantListener {
    private final Metrics metrics;
    private final EventLog log;

    InvariantReporter(Metrics metrics, EventLog log) {
        this.metrics = metrics;
        this.log = log;
    }

    @Override
    public void invariantViolated(Invariant invariant, String detail) {
        metrics.violations().labelValues(invariant.name()).inc();
        log.event(LogEvent.INVARIANT_VIOLATED)
                .with("invariant", invariant)
                .with("detail", detail)
                .write();
    }
}
