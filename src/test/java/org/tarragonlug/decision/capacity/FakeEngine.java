package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/** A simulated model engine. It holds the actual state of loaded artifacts. */
final class FakeEngine {
    final ServerId server;
    final FailureDomain failureDomain;
    final FencingKind fencing;
    final long memoryBytes;
    final Map<ArtifactId, Long> loaded = new TreeMap<>();
    final Map<ArtifactId, Long> loading = new TreeMap<>();
    final Set<ArtifactId> inProgress = new TreeSet<>();
    boolean leaving;
    boolean present = true;
    boolean silent;
    int incarnation;
    int remainingFailures;
    int loads;
    int unloads;
    private final FakeWorld world;
    private final Map<ArtifactId, Integer> loadNumbers = new HashMap<>();
    private final Map<ArtifactId, Long> fences = new HashMap<>();
    private final Map<ArtifactId, List<Consumer<OrderOutcome>>> pendingAnswers = new HashMap<>();

    FakeEngine(FakeWorld world, String name, FencingKind fencing, long memoryBytes) {
        this.world = world;
        this.server = new ServerId(name);
        this.failureDomain = new FailureDomain("domain-" + Math.floorMod(name.hashCode(), 3));
        this.fencing = fencing;
        this.memoryBytes = memoryBytes;
    }

    /**
     * Executes an order that arrives now. The answer comes immediately, or when the load has ended.
     */
    void execute(Order order, Consumer<OrderOutcome> answer) {
        world.changed = true;
        if (!present || silent) {
            answer.accept(OrderOutcome.UNKNOWN);
            return;
        }
        ArtifactId artifact = order.artifact();
        long fence = order.fence().value();
        if (fencing == FencingKind.CHECKED) {
            if (fence < fences.getOrDefault(artifact, 0L)) {
                answer.accept(OrderOutcome.REFUSED_OLD_FENCE);
                return;
            }
            fences.put(artifact, fence);
        }
        if (order.kind() == OrderKind.UNLOAD) {
            unloads++;
            loaded.remove(artifact);
            loading.remove(artifact);
            answerPending(artifact, OrderOutcome.FAILED);
            answer.accept(OrderOutcome.DONE);
        } else if (leaving) {
            answer.accept(OrderOutcome.REFUSED_LEAVING);
        } else if (loaded.containsKey(artifact)) {
            answer.accept(OrderOutcome.DONE);
        } else {
            pendingAnswers.computeIfAbsent(artifact, a -> new ArrayList<>()).add(answer);
            if (!loading.containsKey(artifact)) {
                startLoad(order);
            }
        }
    }

    private void startLoad(Order order) {
        ArtifactId artifact = order.artifact();
        if (order.baseModel().isPresent() && !loaded.containsKey(order.baseModel().get())) {
            answerPending(artifact, OrderOutcome.FAILED);
            return;
        }
        loads++;
        loading.put(artifact, order.memoryBytes());
        int startedIn = incarnation;
        int load = loads;
        loadNumbers.put(artifact, load);
        world.after(
                Duration.ofMillis(500 + world.random.nextInt(5_000)),
                () -> {
                    boolean current =
                            incarnation == startedIn
                                    && loading.containsKey(artifact)
                                    && loadNumbers.get(artifact) == load;
                    if (current) {
                        endLoad(artifact);
                    }
                });
    }

    private void endLoad(ArtifactId artifact) {
        world.changed = true;
        long bytes = loading.remove(artifact);
        if (remainingFailures > 0) {
            remainingFailures--;
            answerPending(artifact, OrderOutcome.FAILED);
        } else {
            loaded.put(artifact, bytes);
            answerPending(artifact, OrderOutcome.DONE);
        }
    }

    /**
     * Restarts with nothing loaded. An engine that checks fencing tokens keeps its highest tokens.
     */
    void restart() {
        incarnation++;
        loaded.clear();
        loading.clear();
        inProgress.clear();
        for (ArtifactId artifact : List.copyOf(pendingAnswers.keySet())) {
            answerPending(artifact, OrderOutcome.UNKNOWN);
        }
    }

    void shutDown() {
        restart();
        present = false;
    }

    private void answerPending(ArtifactId artifact, OrderOutcome outcome) {
        List<Consumer<OrderOutcome>> answers = pendingAnswers.remove(artifact);
        if (answers != null) {
            answers.forEach(answer -> answer.accept(outcome));
        }
    }

    boolean holds(ArtifactId artifact) {
        return loaded.containsKey(artifact) || loading.containsKey(artifact);
    }

    long usedBytes() {
        return loaded.values().stream().mapToLong(Long::longValue).sum()
                + loading.values().stream().mapToLong(Long::longValue).sum();
    }

    ServerReport report() {
        return new ServerReport(
                server,
                "run-" + incarnation,
                leaving,
                memoryBytes,
                loaded,
                loading,
                Map.of(),
                inProgress,
                0,
                0,
                world.now);
    }

    ListedServer listing() {
        return new ListedServer(server, failureDomain, leaving, fencing);
    }
}
