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
 * Continuous batching: requests join and leave the batch at each step, a step makes one token of
 * each, and steps take longer the larger the batch is. Waiting requests join by priority. Not
 * thread-safe; the engine's lock guards it.
 */
final class EngineBatch {
    private static final int CACHED_PREFIXES = 64;
    private static final double CACHED_PREFILL_SHARE = 0.2;

    private final EngineSettings settings;
    private final StandInClock clock;
    private final PlatformTruth truth;
    private final Predicate<SocketAddress> frozen;
    private final Runnable scheduledStep;
    private final List<EngineSequence> running = new ArrayList<>();
    private final List<EngineSequence> waiting = new ArrayList<>();
    private final Map<String, Boolean> prefixes =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > CACHED_PREFIXES;
                }
            };
    private boolean stepping;
    private int largest;

    EngineBatch(
            EngineSettings settings,
            StandInClock clock,
            PlatformTruth truth,
            Predicate<SocketAddress> frozen,
            Runnable scheduledStep) {
        this.settings = settings;
        this.clock = clock;
        this.truth = truth;
        this.frozen = frozen;
        this.scheduledStep = scheduledStep;
    }

    boolean isFull() {
        return waiting.size() >= settings.queueLimit();
    }

    void add(EngineSequence sequence) {
        count(sequence, 1);
        waiting.add(sequence);
        admit();
        scheduleStep();
    }

    private void admit() {
        waiting.sort(Comparator.comparing(EngineSequence::priority));
        while (running.size() < settings.batchSize() && !waiting.isEmpty()) {
            EngineSequence sequence = waiting.remove(0);
            boolean cached = prefixes.put(sequence.prefixKey(), true) != null;
            double prefill = clock.realNanos(settings.prefill());
            double share = cached ? CACHED_PREFILL_SHARE : 1;
            sequence.setReadyAt(clock.nanos() + Math.round(prefill * share));
            running.add(sequence);
            largest = Math.max(largest, running.size());
        }
    }

    private void scheduleStep() {
        if (stepping || running.isEmpty()) {
            return;
        }
        stepping = true;
        long interval =
                clock.realNanos(settings.tokenInterval())
                        + clock.realNanos(settings.intervalPerRequest()) * (running.size() - 1);
        clock.afterNanos(interval, scheduledStep);
    }

    /** Makes one token of each running request. */
    void step() {
        stepping = false;
        long now = clock.nanos();
        Iterator<EngineSequence> iterator = running.iterator();
        while (iterator.hasNext()) {
            EngineSequence sequence = iterator.next();
            boolean silent = frozen.test(sequence.connection());
            if (sequence.readyAt() <= now && sequence.step(silent)) {
                iterator.remove();
                count(sequence, -1);
            }
        }
        admit();
        scheduleStep();
    }

    /** Removes one request, whose stream was closed by the caller. */
    boolean remove(EngineSequence sequence) {
        boolean removed = running.remove(sequence) || waiting.remove(sequence);
        if (removed) {
            count(sequence, -1);
        }
        return removed;
    }

    /** Ends the requests of an attempt; returns their number. */
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

    /** Forgets everything, as a lost process does. */
    void clear() {
        running.forEach(sequence -> count(sequence, -1));
        waiting.forEach(sequence -> count(sequence, -1));
        running.clear();
        waiting.clear();
        prefixes.clear();
    }

    int runningCount() {
        return running.size();
    }

    int waitingCount() {
        return waiting.size();
    }

    int largestBatch() {
        return largest;
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

    private void count(EngineSequence sequence, int change) {
        truth.inProgress(settings.server(), sequence.artifact(), change);
        sequence.base().ifPresent(base -> truth.inProgress(settings.server(), base, change));
    }
}
