package org.tarragonlug.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.capacity.CacheTier;
import org.tarragonlug.decision.capacity.Order;
import org.tarragonlug.decision.capacity.OrderKind;
import org.tarragonlug.decision.capacity.OrderOutcome;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.engine.EngineClient;
import org.tarragonlug.engine.GenerationListener;
import org.tarragonlug.engine.GenerationRequest;
import org.tarragonlug.engine.HttpEngineClient;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.weightstore.Checkpoint;

/** Tests the properties of the engine stand-in that measurements and fault tests rely on. */
class EngineStandInTest {
    private static final ArtifactId MODEL = new ArtifactId("m", "1");
    private static final ArtifactId ADAPTER = new ArtifactId("a", "1");
    private static final Duration PREFILL = Duration.ofMillis(200);

    private final LoopbackFixture loopback = new LoopbackFixture();
    private final StandInClock realTime = new StandInClock(1);
    private final EngineRecorder recorder = new EngineRecorder();
    private final WeightStoreStandIn weightStore =
            new WeightStoreStandIn(
                    loopback.ioExecutor, realTime, List.of(new Checkpoint(MODEL, 60)));
    private final EngineSettings settings =
            new EngineSettings(
                    new ServerId("s"),
                    100,
                    EngineFencing.CHECKED,
                    1,
                    8,
                    Duration.ofMillis(2),
                    Duration.ZERO,
                    PREFILL,
                    Duration.ofMillis(20),
                    Duration.ofMillis(100),
                    "CRASH");
    private final EngineStandIn engine =
            new EngineStandIn(settings, loopback.ioExecutor, realTime, weightStore, recorder);
    private final EngineClient client =
            new HttpEngineClient(
                    loopback.connections,
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(5),
                    Instant::now);

    @AfterEach
    void close() throws Exception {
        engine.close();
        weightStore.close();
        realTime.close();
        loopback.close();
    }

    private CompletionStage<OrderOutcome> load(ArtifactId artifact, long bytes) {
        Optional<ArtifactId> base =
                artifact.equals(ADAPTER) ? Optional.of(MODEL) : Optional.empty();
        return client.order(
                engine.address(),
                new Order(
                        new OperationId("o"),
                        OrderKind.LOAD,
                        settings.server(),
                        artifact,
                        base,
                        bytes,
                        new FencingToken(1)));
    }

    /**
     * Sends a request and returns the {@link System#nanoTime} of its end. The future fails if the
     * request does.
     */
    private CompletableFuture<Long> generate(String prompt, Priority priority) {
        CompletableFuture<Long> end = new CompletableFuture<>();
        JsonNode body =
                JsonNodeFactory.instance.objectNode().put("prompt", prompt).put("max_tokens", 2);
        GenerationRequest request =
                new GenerationRequest(
                        new AttemptId(prompt),
                        MODEL,
                        "/v1/completions",
                        body,
                        priority,
                        0,
                        Duration.ofSeconds(5));
        client.generate(
                engine.address(),
                request,
                new GenerationListener() {
                    @Override
                    public void onToken(int offset, String text) {
                        // The tests use only the time at which the answer is complete.
                    }

                    @Override
                    public void onCompleted(int tokens, String checksum) {
                        end.complete(System.nanoTime());
                    }

                    @Override
                    public void onFailed(AttemptFailure failure, String detail) {
                        end.completeExceptionally(new AssertionError(failure + " " + detail));
                    }
                });
        return end;
    }

    /**
     * An adapter can't serve requests without its base model. The order for the adapter arrives
     * while the base model is still loading, and must neither fail nor finish first.
     */
    @Test
    void loadsAdapterAfterItsBaseModel() throws Exception {
        engine.setCacheTier(MODEL, CacheTier.DISK);
        CompletionStage<OrderOutcome> model = load(MODEL, 60);
        LoopbackFixture.eventually(() -> engine.currentReport().loading().containsKey(MODEL));
        CompletionStage<OrderOutcome> adapter = load(ADAPTER, 5);
        assertEquals(OrderOutcome.DONE, LoopbackFixture.await(adapter));
        assertEquals(OrderOutcome.DONE, LoopbackFixture.await(model));
        List<ArtifactId> ready =
                recorder.history().stream()
                        .filter(change -> change.state() == ReplicaChange.State.LOADED)
                        .map(ReplicaChange::artifact)
                        .toList();
        assertEquals(List.of(MODEL, ADAPTER), ready);
    }

    /**
     * An instance with a wrong size in its tables overcommits the memory of a server. If the
     * stand-in used only the size in the order, the load would succeed and tests would not detect
     * the overcommit.
     */
    @Test
    void failsLoadWhenOrderUnderstatesCheckpointSize() throws Exception {
        ArtifactId other = new ArtifactId("n", "1");
        engine.setCacheTier(other, CacheTier.DISK);
        assertEquals(OrderOutcome.DONE, LoopbackFixture.await(load(other, 50)));
        assertEquals(OrderOutcome.FAILED, LoopbackFixture.await(load(MODEL, 1)));
        assertEquals(1, recorder.overcommits());
    }

    /**
     * Measurements of prefix reuse are meaningless if a cached prefix saves no time. The first
     * request takes at least the complete prefill; a repeated prompt must take less. Takes the
     * shortest of three repetitions, because pauses of the machine lengthen some of them.
     */
    @Test
    void cachedPrefixShortensTimeToFirstToken() throws Exception {
        engine.setCacheTier(MODEL, CacheTier.MEMORY);
        LoopbackFixture.await(load(MODEL, 60));
        long start = System.nanoTime();
        long first = LoopbackFixture.await(generate("same prompt", Priority.NORMAL));
        assertTrue(first - start >= PREFILL.toNanos());
        long shortest = Long.MAX_VALUE;
        for (int repeat = 0; repeat < 3; repeat++) {
            long begin = System.nanoTime();
            long end = LoopbackFixture.await(generate("same prompt", Priority.NORMAL));
            shortest = Math.min(shortest, end - begin);
        }
        assertTrue(shortest < PREFILL.toNanos());
    }

    /**
     * Priorities have no effect if the engine's queue is first in, first out. The batch holds one
     * request; an interactive request that arrives after a waiting batch request must end first.
     */
    @Test
    void runsInteractiveRequestBeforeQueuedBatchRequest() throws Exception {
        engine.setCacheTier(MODEL, CacheTier.MEMORY);
        LoopbackFixture.await(load(MODEL, 60));
        CompletableFuture<Long> running = generate("running", Priority.BATCH);
        LoopbackFixture.eventually(() -> engine.inProgressCount() == 1);
        CompletableFuture<Long> batch = generate("batch", Priority.BATCH);
        LoopbackFixture.eventually(() -> engine.inProgressCount() == 2);
        CompletableFuture<Long> interactive = generate("interactive", Priority.INTERACTIVE);
        long batchEnd = LoopbackFixture.await(batch);
        assertTrue(LoopbackFixture.await(interactive) < batchEnd);
        assertTrue(LoopbackFixture.await(running) < batchEnd);
    }
}
