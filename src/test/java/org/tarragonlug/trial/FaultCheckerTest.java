package org.tarragonlug.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.capacity.Order;
import org.tarragonlug.decision.capacity.OrderKind;
import org.tarragonlug.decision.capacity.OrderOutcome;
import org.tarragonlug.engine.HttpEngineClient;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.standin.Deployment;
import org.tarragonlug.standin.EngineStandIn;
import org.tarragonlug.standin.StandInPlatform;

/** Tests that the checks of a randomised run detect violations. */
class FaultCheckerTest {
    /**
     * A check that never reports anything lets every randomised run pass. The test loads a model
     * directly on an engine, without a slot in the capacity record, which the check must report.
     */
    @Test
    void reportsReplicaWithoutSlot() throws Exception {
        List<String> problems = new ArrayList<>();
        try (LoopbackFixture loopback = new LoopbackFixture();
                StandInPlatform platform =
                        new StandInPlatform(Deployment.CARGAS, loopback.ioExecutor, 0.01);
                TrialFleet fleet =
                        new TrialFleet(platform, loopback.ioExecutor, loopback.ioExecutor, 1)) {
            FaultChecker checker = new FaultChecker(platform, fleet, problems::add);
            checker.checkReplicas();
            assertEquals(List.of(), problems);
            EngineStandIn engine = platform.engines().get(0);
            ArtifactId artifact = ArtifactId.parse("lessons-model-1");
            LoopbackFixture.await(load(loopback, engine, artifact));
            checker.checkReplicas();
            assertTrue(problems.get(0).startsWith("no slot for " + artifact), problems::toString);
        }
    }

    private static CompletionStage<OrderOutcome> load(
            LoopbackFixture loopback, EngineStandIn engine, ArtifactId artifact) {
        HttpEngineClient client =
                new HttpEngineClient(
                        loopback.connections,
                        LoopbackFixture.LONG_TIMEOUT,
                        LoopbackFixture.LONG_TIMEOUT,
                        Instant::now);
        return client.order(
                engine.address(),
                new Order(
                        new OperationId("o"),
                        OrderKind.LOAD,
                        engine.id(),
                        artifact,
                        Optional.empty(),
                        1,
                        new FencingToken(1)));
    }
}
