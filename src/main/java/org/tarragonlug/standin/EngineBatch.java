package org.tarragonlug.standin;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.tarragonlug.id.ArtifactId;

/**
 * Simulates continuous batching. Requests join and leave the batch at each step, and waiting
 * requests join in order of priority. A step generates one token for each running request and takes
 * longer the larger the batch is. Not thread-safe; guarded by the engine's lock.
 */
final class EngineBatch {
    private static final int MAXIMUM_CACHED_PREFIXES = 64;
    private static final double CACHED_PREFILL_TIME_SHARE = 0.2;

    private final EngineSettings settings;
    private final StandInClock clock;
    private final EngineRecorder recorder;
    private final Predicate<SocketAddress> connectionSilent;
    private final Runnable stepTask;
    private final List<EngineSequence> running = new ArrayList<>();
    private final List<EngineSequence> waiting = new ArrayList<>();
    private final Map<String, Boolean> cachedPrefixes =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAXIMUM_CACHED_PREFIXES;
                }
            };
    private boolean stepScheduled;
    private int largestBatch;

    EngineBatch(
            EngineSettings settings,
            StandInClock clock,
            EngineRecorder recorder,
            Predicate<SocketAddress> connectionSilent,
            Runnable stepTask) {
        this.settings = settings;
        this.clock = clock;
        this.recorder = recorder;
        this.connectionSilent = connectionSilent;
        this.stepTask = stepTask;
    }

    boolean isFull() {
        return waiting.size() >= settings.queueLimit();
    }

    void add(EngineSequence sequence) {
        recordInProgress(sequence, 1);
        waiting.add(sequence);
        admit();
        scheduleStep();
    }

    private void admit() {
        waiting.sort(Comparator.comparing(EngineSequence::priority));
        while (running.size() < settings.batchSize() && !waiting.isEmpty()) {
            EngineSequence sequence = waiting.remove(0);
            boolean cached = cachedPrefixes.put(sequence.prefixKey(), true) != null;
            double prefill = clock.realNanos(settings.prefill());
            double share = cached ? CACHED_PREFILL_TIME_SHARE : 1;
            sequence.setReadyAt(clock.nanos() + Math.round(prefill * share));
            running.add(sequence);
            largestBatch = Math.max(largestBatch, running.size());
        }
    }

    private void scheduleStep() {
        if (stepScheduled || running.isEmpty()) {
            return;
        }
        stepScheduled = true;
        long interval =
                clock.realNanos(settings.tokenInterval())
                        + clock.realNanos(settings.intervalPerRequest()) * (running.size() - 1);
        clock.afterNanos(interval, stepTask);
    }

    /** Generates one token for each running request whose prefill has ended. */
    void step() {
        stepScheduled = false;
        long now = clock.nanos();
        Iterator<EngineSequence> iterator = running.iterator();
        while (iterator.hasNext()) {
            EngineSequence sequence = iterator.next();
            boolean silent = connectionSilent.test(sequence.connection());
            if (sequence.readyAt() <= now && sequence.step(silent)) {
                iterator.remove();
                recordInProgress(sequence, -1);
            }
        }
        admit();
        scheduleStep();
    }

    /**
     * Removes a request whose stream was closed by the caller.
     *
     * @return false if the request was neither running nor waiting
     */
    boolean remove(EngineSequence sequence) {
        boolean removed = running.remove(sequence) || waiting.remove(sequence);
        if (removed) {
            recordInProgress(sequence, -1);
        }
        return removed;
    }

    /** Aborts the requests of an attempt and returns their number. */
    int cancel(String attempt) {
        List<EngineSequence> all = new ArrayList<>(running);
        all.addAll(waiting);
        int cancelled = 0;
        for (EngineSequence sequence : all) {
            if (sequence.attempt().equals(attempt) && remove(sequence)) {
                sequence.abort();
                cancelled++;
            }
        }
        return cancelled;
    }

    /** Drops all requests and cached prefixes, as the loss of the process does. */
    void clear() {
        running.forEach(sequence -> recordInProgress(sequence, -1));
        waiting.forEach(sequence -> recordInProgress(sequence, -1));
        running.clear();
        waiting.clear();
        cachedPrefixes.clear();
    }

    int runningCount() {
        return running.size();
    }

    int waitingCount() {
        return waiting.size();
    }

    int largestBatch() {
        return largestBatch;
    }

    Set<ArtifactId> inProgress() {
        Set<ArtifactId> artifacts = new HashSet<>();
        for (List<EngineSequence> list : List.of(running, waiting)) {
            for (EngineSequence sequence : list) {
                artifacts.add(sequence.artifact());
                sequence.base().ifPresent(artifacts::add);
            }
        }
        return artifacts;
    }

    private void recordInProgress(EngineSequence sequence, int change) {
        recorder.recordRequestsInProgress(settings.server(), sequence.artifact(), change);
        sequence.base()
                .ifPresent(
                        base -> recorder.recordRequestsInProgress(settings.server(), base, change));
    }
}
