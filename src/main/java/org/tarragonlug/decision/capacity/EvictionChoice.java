package org.tarragonlug.decision.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;

/**
 * The idle artifacts of one server whose unload frees enough memory at the least lost benefit.
 *
 * <p>Finding them is a covering knapsack problem. A depth-first search takes artifacts by benefit
 * per byte, so that its first solution is the greedy one, and cuts branches whose lower bound (the
 * missing bytes at the benefit per byte of the next artifact) is not below the best solution. It is
 * exact for the few dozen artifacts that a server holds; after {@value #MAXIMUM_STEPS} steps it
 * returns the best set found so far.
 *
 * @param artifacts what to unload, least benefit per byte first
 * @param lostBenefit sum of their expected benefits, weighted, per second
 */
record EvictionChoice(List<ArtifactId> artifacts, double lostBenefit) {
    private static final int MAXIMUM_STEPS = 20_000;

    EvictionChoice {
        artifacts = List.copyOf(artifacts);
    }

    /**
     * Finds the cheapest set.
     *
     * @param idle what may be unloaded
     * @param missingBytes memory to free, bytes
     * @return empty when unloading everything is not enough
     */
    static Optional<EvictionChoice> cheapest(
            List<ServerCandidate.IdleArtifact> idle, long missingBytes) {
        if (idle.stream().mapToLong(ServerCandidate.IdleArtifact::memoryBytes).sum()
                < missingBytes) {
            return Optional.empty();
        }
        Search search = new Search(idle);
        search.descend(0, missingBytes, 0);
        return Optional.of(new EvictionChoice(search.best, search.bestLoss));
    }

    private static double benefitPerByte(ServerCandidate.IdleArtifact idle) {
        return idle.expectedBenefit() / Math.max(1, idle.memoryBytes());
    }

    private static final class Search {
        private final List<ServerCandidate.IdleArtifact> idle;
        private final long[] bytesFrom;
        private final List<ArtifactId> chosen = new ArrayList<>();
        private List<ArtifactId> best = List.of();
        private double bestLoss = Double.POSITIVE_INFINITY;
        private int steps;

        Search(List<ServerCandidate.IdleArtifact> unordered) {
            idle =
                    unordered.stream()
                            .filter(artifact -> artifact.memoryBytes() > 0)
                            .sorted(
                                    Comparator.comparingDouble(EvictionChoice::benefitPerByte)
                                            .thenComparing(ServerCandidate.IdleArtifact::artifact))
                            .toList();
            bytesFrom = new long[idle.size() + 1];
            for (int index = idle.size() - 1; index >= 0; index--) {
                bytesFrom[index] = bytesFrom[index + 1] + idle.get(index).memoryBytes();
            }
        }

        void descend(int index, long missing, double loss) {
            if (missing <= 0) {
                if (loss < bestLoss) {
                    bestLoss = loss;
                    best = List.copyOf(chosen);
                }
                return;
            }
            if (bytesFrom[index] < missing || steps++ > MAXIMUM_STEPS) {
                return;
            }
            ServerCandidate.IdleArtifact next = idle.get(index);
            if (loss + missing * benefitPerByte(next) >= bestLoss) {
                return;
            }
            chosen.add(next.artifact());
            descend(index + 1, missing - next.memoryBytes(), loss + next.expectedBenefit());
            chosen.remove(chosen.size() - 1);
            descend(index + 1, missing, loss);
        }
    }
}
