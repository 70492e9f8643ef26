package org.tarragonlug.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonlug.error.TarragonlugException;

/**
 * Restarts a failed child alone, with exponential backoff, and fails itself once children have
 * failed too often, so that its own supervisor takes over. A child that fails again before its
 * restart counts once more and is still restarted once.
 *
 * <p>The limit of 5 failures in a minute tells a passing fault from one that restarts cannot cure:
 * with the backoff doubling from 100 ms, five restarts take about 3 seconds.
 */
public final class DefaultSupervisor implements Supervisor {
    private static final int FAILURE_LIMIT = 5;
    private static final Duration FAILURE_WINDOW = Duration.ofMinutes(1);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);

    private final String name;
    private final TimerService timers;
    private final EventLog log;
    private final FailureListener parent;
    private final List<SupervisedPart> children = new ArrayList<>();
    private final Deque<Instant> recentFailures = new ArrayDeque<>();
    private final Map<String, TimerHandle> pendingRestarts = new HashMap<>();
    private boolean running;

    /**
     * Creates a supervisor.
     *
     * @param name its name in logs
     * @param timers times the restarts
     * @param log receives failures and restarts
     * @param parent told when the children have failed too often
     */
    public DefaultSupervisor(
            String name, TimerService timers, EventLog log, FailureListener parent) {
        this.name = name;
        this.timers = timers;
        this.log = log;
        this.parent = parent;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public synchronized void add(SupervisedPart child) {
        children.add(child);
    }

    @Override
    public synchronized void start() throws TarragonlugException {
        running = true;
        recentFailures.clear();
        for (SupervisedPart child : children) {
            startChild(child);
        }
    }

    private void startChild(SupervisedPart child) throws TarragonlugException {
        try {
            child.start();
        } catch (TarragonlugException | RuntimeException failure) {
            stop();
            throw failure;
        }
    }

    @Override
    public synchronized void stop() {
        stopRestarting();
        for (int index = children.size() - 1; index >= 0; index--) {
            stopChild(children.get(index));
        }
    }

    private void stopRestarting() {
        running = false;
        pendingRestarts.values().forEach(TimerHandle::cancel);
        pendingRestarts.clear();
    }

    /** A child that cannot be stopped must not keep the others running. */
    private void stopChild(SupervisedPart child) {
        try {
            child.stop();
        } catch (RuntimeException failure) {
            logFailure(child.name(), failure);
        }
    }

    private void logFailure(String part, Throwable failure) {
        log.event(LogEvent.PART_FAILED)
                .with("supervisor", name)
                .with("part", part)
                .withFailure(failure)
                .write();
    }

    @Override
    public synchronized void onPartFailed(String part, Throwable failure) {
        logFailure(part, failure);
        if (!running) {
            return;
        }
        Instant now = timers.now();
        recentFailures.addLast(now);
        while (recentFailures.peekFirst().isBefore(now.minus(FAILURE_WINDOW))) {
            recentFailures.removeFirst();
        }
        if (recentFailures.size() >= FAILURE_LIMIT) {
            stopRestarting();
            parent.onPartFailed(name, failure);
            return;
        }
        Duration backoff = FIRST_BACKOFF.multipliedBy(1L << (recentFailures.size() - 1));
        pendingRestarts.computeIfAbsent(part, name -> timers.scheduleOnce(backoff, due -> restart(name)));
    }

    private synchronized void restart(String part) {
        pendingRestarts.remove(part);
        if (!running) {
            return;
        }
        for (SupervisedPart child : children) {
            if (child.name().equals(part)) {
                restart(child);
            }
        }
    }

    private void restart(SupervisedPart child) {
        stopChild(child);
        try {
            child.start();
            log.event(LogEvent.PART_RESTARTED)
                    .with("supervisor", name)
                    .with("part", child.name())
                    .write();
        } catch (TarragonlugException | RuntimeException failure) {
            onPartFailed(child.name(), failure);
        }
    }
}
