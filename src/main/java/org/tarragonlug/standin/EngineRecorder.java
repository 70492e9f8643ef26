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

/**
 * Records the replicas, requests in progress, overcommits and crashes of all engine stand-ins, so
 * that checks can compare them with what the entry instances assume. Times are real times.
 * Thread-safe.
 */
public final class EngineRecorder {
    private final List<ReplicaChange> history = new ArrayList<>();
    private final Map<ReplicaLocation, Holding> holdings = new HashMap<>();
    private final Map<ArtifactId, Integer> highestReplicas = new TreeMap<>();
    private final Map<ServerId, Long> idleNanos = new TreeMap<>();
    private final Map<String, Integer> crashesByPrompt = new TreeMap<>();
    private final List<String> crashDescriptions = new ArrayList<>();
    private long overcommits;
    private long crashes;

    /** Returns all replica changes so far in the order of their occurrence. */
    public synchronized List<ReplicaChange> history() {
        return List.copyOf(history);
    }

    /** Returns the artifacts that are loaded now, by server; servers without any are omitted. */
    public synchronized Map<ServerId, Set<ArtifactId>> loaded() {
        Map<ServerId, Set<ArtifactId>> result = new TreeMap<>();
        holdings.forEach(
                (replica, holding) -> {
                    if (holding.state == ReplicaChange.State.LOADED) {
                        result.computeIfAbsent(replica.server, key -> new TreeSet<>())
                                .add(replica.artifact);
                    }
                });
        return result;
    }

    /**
     * Returns the highest number of replicas that each artifact had at the same time, including
     * replicas that were being loaded.
     */
    public synchronized Map<ArtifactId, Integer> highestReplicas() {
        return Map.copyOf(highestReplicas);
    }

    /** Returns the number of load orders that did not fit into a server's memory. */
    public synchronized long overcommits() {
        return overcommits;
    }

    /** Returns the replicas that occupy memory now, including those being loaded. */
    public synchronized Set<HeldReplica> heldReplicas() {
        Set<HeldReplica> result = new HashSet<>();
        holdings.forEach(
                (replica, holding) ->
                        result.add(
                                new HeldReplica(
                                        replica.server, replica.artifact, holding.heldSince)));
        return result;
    }

    /**
     * Returns a line for each crash: its time, the server and the prompt that caused it. The prompt
     * is empty if the crash had another cause.
     */
    public synchronized List<String> crashDescriptions() {
        return List.copyOf(crashDescriptions);
    }

    /** Returns the number of crashes that requests caused, by the text of the prompt. */
    public synchronized Map<String, Integer> crashesByPrompt() {
        return Map.copyOf(crashesByPrompt);
    }

    /** Returns the number of crashed engine processes. */
    public synchronized long crashes() {
        return crashes;
    }

    /**
     * Returns the idle accelerator time of each server in seconds. The idle time is the sum over
     * all artifacts of the time in which the artifact was loaded without a request in progress.
     */
    public synchronized Map<ServerId, Double> idleSeconds() {
        long now = System.nanoTime();
        holdings.forEach((replica, holding) -> addIdleTime(replica, holding, now));
        Map<ServerId, Double> result = new TreeMap<>();
        idleNanos.forEach((server, nanos) -> result.put(server, nanos / 1e9));
        return result;
    }

    synchronized void recordReplicaChange(
            ServerId server, ArtifactId artifact, ReplicaChange.State state) {
        long now = System.nanoTime();
        ReplicaLocation replica = new ReplicaLocation(server, artifact);
        Holding oldHolding = holdings.remove(replica);
        if (oldHolding != null) {
            addIdleTime(replica, oldHolding, now);
        }
        if (state != ReplicaChange.State.ABSENT) {
            holdings.put(
                    replica,
                    new Holding(state, now, oldHolding == null ? now : oldHolding.heldSince));
            int replicaCount =
                    (int)
                            holdings.keySet().stream()
                                    .filter(other -> other.artifact.equals(artifact))
                                    .count();
            highestReplicas.merge(artifact, replicaCount, Math::max);
        }
        history.add(new ReplicaChange(now, server, artifact, state));
    }

    /**
     * Changes the number of requests in progress at a replica.
     *
     * @param change 1 at the start of a request, -1 at its end
     */
    synchronized void recordRequestsInProgress(ServerId server, ArtifactId artifact, int change) {
        ReplicaLocation replica = new ReplicaLocation(server, artifact);
        Holding holding = holdings.get(replica);
        if (holding != null) {
            addIdleTime(replica, holding, System.nanoTime());
            holding.inProgress += change;
        }
    }

    synchronized void recordOvercommit() {
        overcommits++;
    }

    /**
     * Records a crash.
     *
     * @param promptText prompt that caused the crash; empty if it had another cause
     */
    synchronized void recordCrash(ServerId server, String promptText) {
        crashes++;
        crashDescriptions.add(Instant.now() + " " + server + " " + promptText);
        if (!promptText.isEmpty()) {
            crashesByPrompt.merge(promptText, 1, Integer::sum);
        }
    }

    private void addIdleTime(ReplicaLocation replica, Holding holding, long now) {
        if (holding.state == ReplicaChange.State.LOADED && holding.inProgress == 0) {
            idleNanos.merge(replica.server, now - holding.accountedUntil, Long::sum);
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
