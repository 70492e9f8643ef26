package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.function.Supplier;
import org.tarragonlug.decision.capacity.CacheTier;
import org.tarragonlug.decision.capacity.OrderKind;
import org.tarragonlug.engine.EngineProtocol;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.ArtifactId;

/** Executes load and unload orders of an engine. Callers must hold the engine's lock. */
final class EngineLoader {
    /** Fraction of the load time after which an injected load failure occurs. */
    private static final double FAILED_LOAD_TIME_SHARE = 0.5;

    /** Time to load a cached adapter, as a fraction of the time to load a cached model. */
    private static final double ADAPTER_LOAD_TIME_SHARE = 0.01;

    private final EngineSettings settings;
    private final StandInClock clock;
    private final WeightStoreStandIn weightStore;
    private final EngineMemory memory;
    private final Object lock;
    private final Supplier<Set<ArtifactId>> inProgress;
    private final Map<ArtifactId, Long> highestFencingTokens = new HashMap<>();
    private int loadsToFail;

    /** Incremented when the process ends; the ends of loads of an earlier process are ignored. */
    private int generation;

    EngineLoader(
            EngineSettings settings,
            StandInClock clock,
            WeightStoreStandIn weightStore,
            EngineMemory memory,
            Object lock,
            Supplier<Set<ArtifactId>> inProgress) {
        this.settings = settings;
        this.clock = clock;
        this.weightStore = weightStore;
        this.memory = memory;
        this.lock = lock;
        this.inProgress = inProgress;
    }

    void failNextLoads(int count) {
        loadsToFail = count;
    }

    /**
     * Drops all replicas, loads and fencing tokens, as the loss of the process does. Orders in
     * progress are not answered.
     */
    void clear() {
        generation++;
        memory.clear().forEach(EngineMemory.HeldArtifact::cancelLoad);
        highestFencingTokens.clear();
    }

    CompletionStage<StandInReply> execute(JsonNode order) {
        ArtifactId artifact = ArtifactId.parse(JsonFields.text(order, "artifact"));
        long token = JsonFields.count(order, "fence");
        OrderKind kind = OrderKind.valueOf(JsonFields.text(order, "kind"));
        long highestSeen = highestFencingTokens.getOrDefault(artifact, 0L);
        if (settings.fencing().rejects(token, highestSeen)) {
            return error(
                    409,
                    EngineProtocol.OLD_FENCE,
                    "a higher fencing token, " + highestSeen + ", was received");
        }
        highestFencingTokens.merge(artifact, token, Math::max);
        return kind == OrderKind.LOAD ? load(artifact, order) : unload(artifact);
    }

    private CompletionStage<StandInReply> load(ArtifactId artifact, JsonNode order) {
        EngineMemory.HeldArtifact held = memory.get(artifact);
        if (held != null) {
            return held.isReady() ? done() : replyWhenLoadEnds(held);
        }
        Optional<ArtifactId> base =
                order.has("baseModel")
                        ? Optional.of(ArtifactId.parse(JsonFields.text(order, "baseModel")))
                        : Optional.empty();
        if (base.isPresent() && memory.get(base.get()) == null) {
            return error(
                    409,
                    EngineProtocol.NOT_LOADED,
                    "the base model " + base.get() + " is not loaded");
        }
        // Reserves at least the size of the checkpoint, so that an order that states a smaller size
        // does not hide an overcommit.
        long orderedBytes = JsonFields.count(order, "memoryBytes");
        long bytes = Math.max(orderedBytes, weightStore.bytes(artifact).orElse(0));
        Optional<EngineMemory.HeldArtifact> reservation = memory.reserve(artifact, base, bytes);
        if (reservation.isEmpty()) {
            return error(
                    507,
                    EngineProtocol.OUT_OF_MEMORY,
                    bytes + " bytes do not fit into the free memory");
        }
        CompletionStage<StandInReply> reply = replyWhenLoadEnds(reservation.get());
        EngineMemory.HeldArtifact baseHeld = base.map(memory::get).orElse(null);
        if (baseHeld != null && !baseHeld.isReady()) {
            int startGeneration = generation;
            baseHeld.onLoadEnd(() -> startLoadAfterBaseModel(reservation.get(), startGeneration));
        } else {
            startLoad(reservation.get());
        }
        return reply;
    }

    private CompletionStage<StandInReply> replyWhenLoadEnds(EngineMemory.HeldArtifact held) {
        CompletableFuture<StandInReply> reply = new CompletableFuture<>();
        held.onLoadEnd(
                () -> {
                    if (held.isReady()) {
                        done().thenAccept(reply::complete);
                    } else {
                        error(500, EngineProtocol.LOAD_FAILED, "the load failed")
                                .thenAccept(reply::complete);
                    }
                });
        return reply;
    }

    private void startLoadAfterBaseModel(EngineMemory.HeldArtifact held, int startGeneration) {
        synchronized (lock) {
            if (startGeneration != generation || memory.get(held.artifact()) != held) {
                return;
            }
            if (memory.isReady(held.base().orElseThrow())) {
                startLoad(held);
                return;
            }
            memory.release(held);
        }
        held.removeLoadEndTasks().forEach(Runnable::run);
    }

    private void startLoad(EngineMemory.HeldArtifact held) {
        boolean fails = loadsToFail > 0;
        if (fails) {
            loadsToFail--;
        }
        boolean adapter = held.base().isPresent();
        CacheTier tier = memory.cacheTier(held.artifact());
        int startGeneration = generation;
        Runnable endTask = () -> endLoad(held, fails, startGeneration);
        if (tier == CacheTier.REMOTE && !fails) {
            held.setCancelLoad(weightStore.load(held.artifact(), adapter, endTask));
            return;
        }
        double share =
                (adapter ? ADAPTER_LOAD_TIME_SHARE : 1) * (fails ? FAILED_LOAD_TIME_SHARE : 1);
        long nominal =
                (tier == CacheTier.MEMORY ? settings.memoryLoad() : settings.diskLoad()).toNanos();
        Future<?> timer = clock.afterNanos(Math.round(nominal * share * clock.scale()), endTask);
        held.setCancelLoad(() -> timer.cancel(false));
    }

    private void endLoad(EngineMemory.HeldArtifact held, boolean failed, int startGeneration) {
        List<Runnable> loadEndTasks;
        synchronized (lock) {
            if (startGeneration != generation || memory.get(held.artifact()) != held) {
                return;
            }
            if (failed) {
                memory.release(held);
            } else {
                memory.markReady(held);
            }
            loadEndTasks = held.removeLoadEndTasks();
        }
        loadEndTasks.forEach(Runnable::run);
    }

    private CompletionStage<StandInReply> unload(ArtifactId artifact) {
        EngineMemory.HeldArtifact held = memory.get(artifact);
        if (held == null) {
            return done();
        }
        if (memory.hasAdapters(artifact)) {
            return error(409, EngineProtocol.IN_USE, "adapters of " + artifact + " are loaded");
        }
        if (inProgress.get().contains(artifact)) {
            return error(
                    409, EngineProtocol.IN_USE, "requests for " + artifact + " are in progress");
        }
        held.cancelLoad();
        memory.release(held);
        held.removeLoadEndTasks().forEach(Runnable::run);
        return done();
    }

    private static CompletionStage<StandInReply> done() {
        return CompletableFuture.completedFuture(
                StandInReply.json(
                        200, JsonNodeFactory.instance.objectNode().put("outcome", "DONE")));
    }

    private static CompletionStage<StandInReply> error(int status, String code, String message) {
        return CompletableFuture.completedFuture(StandInReply.error(status, code, message));
    }
}
