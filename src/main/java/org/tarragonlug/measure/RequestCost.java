package org.tarragonlug.measure;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.tarragonlug.decision.request.ColdStart;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestCoordinator;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerId;

/** Measures the wall-clock time in which the coordinator handles one event. */
final class RequestCost {
    private static final int STREAMS = 2_000;
    private static final int TOKENS_PER_ROUND = 100;
    private static final int WARM_UP_ROUNDS = 20;
    private static final int ROUNDS = 50;
    private static final int MEASURED_TICKS = 20_000;
    private static final int SERVERS = 256;
    private static final int[] WAITING_REQUESTS = {1_000, 100_000};
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private RequestCost() {}

    static void run(long seed, PrintStream out) {
        Histogram tokens = tokenCost(seed);
        out.printf(
                Locale.ROOT,
                "cost of a token, ns (%d streams, rounds of %d): p50=%d p99=%d max=%d%n",
                STREAMS,
                STREAMS * TOKENS_PER_ROUND,
                tokens.getValueAtPercentile(50),
                tokens.getValueAtPercentile(99),
                tokens.getMaxValue());
        for (int waitingRequests : WAITING_REQUESTS) {
            Histogram ticks = tickCost(seed, waitingRequests);
            out.printf(
                    Locale.ROOT,
                    "cost of a tick with nothing due, ns (%d waiting): p50=%d p99=%d max=%d%n",
                    waitingRequests,
                    ticks.getValueAtPercentile(50),
                    ticks.getValueAtPercentile(99),
                    ticks.getMaxValue());
        }
    }

    /** Returns a histogram of the rounds' mean time per token, nanoseconds. */
    private static Histogram tokenCost(long seed) {
        RequestCoordinator coordinator = createCoordinator(seed, STREAMS);
        coordinator.handle(replicasReady(), Instant.EPOCH);
        List<AttemptId> attempts = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            for (RequestCommand command : coordinator.handle(arrival(index), Instant.EPOCH)) {
                if (command instanceof RequestCommand.SendGeneration send) {
                    attempts.add(send.attempt());
                }
            }
        }
        if (attempts.size() != STREAMS) {
            throw new IllegalStateException(
                    "only " + attempts.size() + " of " + STREAMS + " streams were sent");
        }
        Histogram perToken = new Histogram(3);
        int offset = 0;
        long forwarded = 0;
        for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
            long begin = System.nanoTime();
            for (int token = 0; token < TOKENS_PER_ROUND; token++) {
                for (AttemptId attempt : attempts) {
                    RequestEvent event = new RequestEvent.AttemptToken(attempt, offset, "token");
                    forwarded += coordinator.handle(event, Instant.EPOCH).size();
                }
                offset++;
            }
            if (round >= WARM_UP_ROUNDS) {
                long elapsed = System.nanoTime() - begin;
                perToken.recordValue(elapsed / ((long) STREAMS * TOKENS_PER_ROUND));
            }
        }
        if (forwarded != (long) offset * STREAMS) {
            throw new IllegalStateException(
                    "forwarded " + forwarded + " of " + (long) offset * STREAMS + " tokens");
        }
        return perToken;
    }

    private static Histogram tickCost(long seed, int waiting) {
        RequestCoordinator coordinator = createCoordinator(seed, waiting);
        for (int index = 0; index < waiting; index++) {
            coordinator.handle(arrival(index), Instant.EPOCH);
        }
        RequestEvent tick = new RequestEvent.Tick();
        Histogram perTick = new Histogram(3);
        for (int index = 0; index < 2 * MEASURED_TICKS; index++) {
            long begin = System.nanoTime();
            coordinator.handle(tick, Instant.EPOCH.plusMillis(1));
            if (index >= MEASURED_TICKS) {
                perTick.recordValue(System.nanoTime() - begin);
            }
        }
        return perTick;
    }

    private static RequestCoordinator createCoordinator(long seed, int queueLimit) {
        RequestCoordinator coordinator =
                RequestScenario.coordinator(
                        new Random(seed),
                        (invariant, detail) -> {
                            throw new IllegalStateException(
                                    "invariant " + invariant + " violated: " + detail);
                        });
        coordinator.handle(
                new RequestEvent.ConfigurationChanged(
                        RequestScenario.configuration(
                                1,
                                queueLimit + 1,
                                List.of("m"),
                                RequestScenario.engineRoute("/chat", true, 1))),
                Instant.EPOCH);
        return coordinator;
    }

    private static RequestEvent replicasReady() {
        Set<ServerId> servers = new HashSet<>();
        for (int index = 0; index < SERVERS; index++) {
            servers.add(new ServerId("server-" + index));
        }
        return new RequestEvent.ReplicasChanged(
                RequestSimulation.ENGINES,
                new ArtifactId("m", "1"),
                servers,
                ColdStart.UNDECIDED,
                Optional.empty());
    }

    private static RequestEvent arrival(int index) {
        return new RequestEvent.RequestArrived(
                new RequestId("r" + index),
                RequestScenario.description(
                        "/chat", "m", TIMEOUT, Optional.empty(), "body" + index));
    }
}
