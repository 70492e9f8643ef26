package org.tarragonlug.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.capacity.ServerCandidate.IdleArtifact;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

class DefaultPlacementTest {
    private static final long GIB = 1L << 30;

    private static ArtifactLimit model(long gib) {
        return new ArtifactLimit(ArtifactId.parse("wanted"), Optional.empty(), gib * GIB, 0, 4);
    }

    private static ArtifactLimit adapter(long gib) {
        Optional<ArtifactId> base = Optional.of(ArtifactId.parse("idle-0"));
        return new ArtifactLimit(ArtifactId.parse("wanted"), base, gib * GIB, 0, 4);
    }

    @Nested
    class AgainstTryingEverything {
        private final LoadTimes loadTimes = new LoadTimes();
        private final Placement placement = new DefaultPlacement(loadTimes, 10);

        /** Guards against a search that misses a cheaper server or a cheaper set of unloads. */
        @Test
        void costIsTheLeastOfAllServersAndSubsets() {
            Random random = new Random(41);
            int evictions = 0;
            for (int round = 0; round < 3_000; round++) {
                ArtifactLimit wanted =
                        random.nextInt(4) == 0
                                ? adapter(1 + random.nextInt(4))
                                : model(5 + random.nextInt(40));
                List<ServerCandidate> candidates = new ArrayList<>();
                for (int server = random.nextInt(5); server >= 0; server--) {
                    candidates.add(candidate(server, random));
                }
                Set<FailureDomain> occupied = Set.of(new FailureDomain("d" + random.nextInt(4)));
                double least = leastCost(wanted, candidates, occupied);
                Optional<Placement.Choice> choice = placement.choose(wanted, candidates, occupied);
                String label = "seed=41 round=" + round;
                assertEquals(Double.isFinite(least), choice.isPresent(), label);
                if (choice.isPresent()) {
                    double cost = cost(wanted, candidates, occupied, choice.get());
                    assertEquals(least, cost, 1e-9, label);
                    evictions += choice.get().unloadFirst().isEmpty() ? 0 : 1;
                }
            }
            assertTrue(evictions > 300, "too few rounds needed unloads: " + evictions);
        }

        private ServerCandidate candidate(int number, Random random) {
            List<IdleArtifact> idle = new ArrayList<>();
            for (int index = random.nextInt(8); index > 0; index--) {
                ArtifactId artifact = ArtifactId.parse("idle-" + (index - 1));
                double benefit = random.nextInt(3) == 0 ? 0 : random.nextDouble();
                idle.add(new IdleArtifact(artifact, random.nextInt(30) * GIB, benefit));
            }
            return new ServerCandidate(
                    new ServerId("s" + number),
                    new FailureDomain("d" + number % 3),
                    random.nextInt(random.nextBoolean() ? 5 : 40) * GIB,
                    CacheTier.values()[random.nextInt(3)],
                    random.nextInt(3),
                    random.nextInt(10),
                    random.nextBoolean(),
                    random.nextInt(5) == 0,
                    idle);
        }

        private double leastCost(
                ArtifactLimit wanted, List<ServerCandidate> all, Set<FailureDomain> occupied) {
            double leastWithRoom = Double.POSITIVE_INFINITY;
            double least = Double.POSITIVE_INFINITY;
            for (ServerCandidate server : all) {
                for (int subset = 0; subset < 1 << server.idle().size(); subset++) {
                    List<ArtifactId> unloads = new ArrayList<>();
                    for (int index = 0; index < server.idle().size(); index++) {
                        if ((subset >> index & 1) == 1) {
                            unloads.add(server.idle().get(index).artifact());
                        }
                    }
                    Placement.Choice choice = new Placement.Choice(server.server(), unloads);
                    double cost = cost(wanted, all, occupied, choice);
                    least = Math.min(least, cost);
                    if (unloads.isEmpty()) {
                        leastWithRoom = Math.min(leastWithRoom, cost);
                    }
                }
            }
            return Double.isFinite(leastWithRoom) ? leastWithRoom : least;
        }

        /** The cost as section 3.7 states it; infinite for a choice that is not allowed. */
        private double cost(
                ArtifactLimit wanted,
                List<ServerCandidate> all,
                Set<FailureDomain> occupied,
                Placement.Choice choice) {
            ServerCandidate server =
                    all.stream().filter(s -> s.server().equals(choice.server())).findAny().get();
            long free = server.freeBytes();
            double lost = 0;
            for (IdleArtifact idle : server.idle()) {
                if (choice.unloadFirst().contains(idle.artifact())) {
                    free += idle.memoryBytes();
                    lost += idle.expectedBenefit();
                }
            }
            boolean unloadsBase =
                    wanted.baseModel().filter(choice.unloadFirst()::contains).isPresent();
            boolean lacksBase = wanted.isAdapter() && !server.holdsBaseModel();
            if (server.holdsReplica() || lacksBase || unloadsBase || free < wanted.memoryBytes()) {
                return Double.POSITIVE_INFINITY;
            }
            double load = loadTimes.expected(wanted, server.tier()).toNanos() / 1e9;
            double domain = occupied.contains(server.failureDomain()) ? 5 : 0;
            return load * (1 + server.loadsInProgress())
                    + 0.05 * server.queued()
                    + domain
                    + 10 * lost;
        }
    }

    @Nested
    class LearntLoadTimes {
        /** Guards against estimates that never leave their start values. */
        @Test
        void approachWhatIsObserved() {
            LoadTimes times = new LoadTimes();
            for (int i = 0; i < 40; i++) {
                times.recordLoad(model(30), CacheTier.DISK, Duration.ofSeconds(60));
            }
            double learnt = times.expected(model(30), CacheTier.DISK).toMillis() / 1e3;
            assertEquals(60, learnt, 1);
        }

        /** Guards against one slow size or tier changing what is expected of all others. */
        @Test
        void keepTiersAndAdaptersApart() {
            LoadTimes times = new LoadTimes();
            Duration memory = times.expected(model(30), CacheTier.MEMORY);
            Duration adapter = times.expected(adapter(1), CacheTier.REMOTE);
            times.recordLoad(model(30), CacheTier.REMOTE, Duration.ofSeconds(600));
            assertEquals(memory, times.expected(model(30), CacheTier.MEMORY));
            assertEquals(adapter, times.expected(adapter(1), CacheTier.REMOTE));
            assertTrue(adapter.toMillis() <= 10, "adapters load in 5 to 10 ms");
        }
    }
}
