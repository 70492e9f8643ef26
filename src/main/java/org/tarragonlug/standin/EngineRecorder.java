package org.tarragonlug.standin;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/** What actually happened on all engine stand-ins, for checks. Times are real. */
public final class EngineRecorder {
    private final List<ReplicaChange> history = new ArrayList<>();
    private final Map<ReplicaLocation, Holding> holdings = new HashMap<>();
    private final Map<ArtifactId, Integer> highestReplicas = new TreeMap<>();
    private final Map<ServerId, Long> idleNanos = new TreeMap<>();
    private final Map<String, Integer> crashesByPrompt = new TreeMap<>();
    private final List<String> crashDescriptions = new ArrayList<>();
    private long overcommits;
    private long crashes;

    /** Returns all changes so far, in order. */
    public synchronized List<ReplicaChange> history() {
        return List.copyOf(history);
    }

    /** Returns what is loaded now, by server. */
    public synchronized Map<ServerId, Set<ArtifactId>> loaded() {
        Map<ServerId, Set<ArtifactId>> result = new TreeMap<>();
        holdings.forEach(
                (place, holding) -> {
                    if (holding.state == ReplicaChange.State.LOADED) {
                        result.computeIfAbsent(place.server, key -> new TreeSet<>())
                                .add(place.artifact);
                    }
                });
        return result;
    }

    /** Returns the most replicas of each artifact at any time, loading ones included. */
    public synchronized Map<ArtifactId, Integer> highestReplicas() {
        return Map.copyOf(highestReplicas);
    }

    /** Returns the number of load orders that did not fit into a server's memory. */
    public synchronized long overcommits() {
        return overcommits;
    }

    /** Returns the replicas that occupy memory now, those being loaded included. */
    public synchronized Set<HeldReplica> heldReplicas() {
        Set<HeldReplica> result = new HashSet<>();
        holdings.forEach(
                (place, holding) ->
                        result.add(
                                new HeldReplica(place.server, place.artifact, holding.heldSince)));
        return result;
    }

    /** Returns each crash with its time, server and the prompt that caused it. */
    public synchronized List<String> crashDescriptions() {
        return List.copyOf(crashDescriptions);
    }

    /** Returns the crashes that requests caused, by the text of their prompts. */
    public synchronized Map<String, Integer> crashesByPrompt() {
        return Map.copyOf(crashesByPrompt);
    }

    /** Returns the number of crashed engine processes. */
    public synchronized long crashes() {
        return crashes;
    }

    /**
     * Returns idle accelerator time by server: for each artifact, the seconds in which it was
     * loaded with no request in progress, added up.
     */
    public synchronized Map<ServerId, Double> idleSeconds() {
        long now = System.nanoTime();
        holdings.forEach((place, holding) -> addIdleTime(place, holding, now));
        Map<ServerId, Double> result = new TreeMap<>();
        idleNanos.forEach((server, nanos) -> result.put(server, nanos / 1e9));
        return result;
    }

    synchronized void recordReplicaChange(ServerId server, ArtifactId artifact, ReplicaChange.State state) {
        long now = System.nanoTime();
        ReplicaLocation replica = new ReplicaLocation(server, artifact);
        Holding oldHolding = holdings.remove(replica);
        if (oldHolding != null) {
            addIdleTime(replica, oldHolding, now);
        }
        if (state != ReplicaChange.State.ABSENT) {
            holdings.put(replica, new Holding(state, now, oldHolding == null ? now : oldHolding.heldSince));
            int replicaCount =
                    (int)
                            holdings.keySet().stream()
                                    .filter(other -> other.artifact.equals(artifact))
                                    .count();
            highestReplicas.merge(artifact, replicaCount, Math::max);
        }
        history.add(new ReplicaChange(now, server, artifact, state));
    }

    /** Counts a request in progress: plus one at its start, minus one at its end. */
    synchronized void recordRequestsInProgress(ServerId server, ArtifactId artifact, int change) {
        ReplicaLocation place = new ReplicaLocation(server, artifact);
        Holding holding = holdings.get(place);
        if (holding != null) {
            addIdleTime(place, holding, System.nanoTime());
            holding.inProgress += change;
        }
    }

    synchronized void recordOvercommit() {
        overcommits++;
    }

    /** Counts a crash; the text of the prompt that caused it is empty if it had another cause. */
    synchronized void recordCrash(ServerId server, String promptText) {
        crashes++;
        crashDescriptions.add(Instant.now() + " " + server + " " + promptText);
        if (!promptText.isEmpty()) {
            crashesByPrompt.merge(promptText, 1, Integer::sum);
        }
    }

    private void addIdleTime(ReplicaLocation place, Holding holding, long now) {
        if (holding.state == ReplicaChange.State.LOADED && holding.inProgress == 0) {
            idleNanos.merge(place.server, now - holding.accountedUntil, Long::sum);
        }
        holding.accountedUntil = now;
    }

    private record ReplicaLocation(ServerId server, ArtifactId artifact) {}

    private static final class Holding {
        private final ReplicaChange.State state;
        private final long heldSince;
        private long accountedUntil;
        private int inProgress;

        Holding(ReplicaChange.State state, long since, long heldSince) {
            this.heldSince = heldSince;
            this.state = state;
            this.accountedUntil = since;
        }
    }
}
