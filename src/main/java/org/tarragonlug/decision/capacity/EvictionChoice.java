package org.tarragonlug.decision.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;

/**
 * The set of idle artifacts of one server whose unloading frees enough memory at the lowest loss of
 * benefit.
 *
 * <p>Finding this set is a covering knapsack problem. A depth-first search considers the artifacts
 * in order of benefit per byte, so that its first solution is the greedy one. It prunes branches
 * whose lower bound (the missing bytes times the benefit per byte of the next artifact) is not
 * below the best solution. The search is exact for the few dozen artifacts that a server holds.
 * After {@value #MAXIMUM_STEPS} steps it returns the best set found so far.
 *
 * @param artifacts the artifacts to unload, lowest benefit per byte first
 * @param lostBenefit sum of the expected benefits of the artifacts: weighted cold-start wait saved
 *     per second
 */
record EvictionChoice(List<ArtifactId> artifacts, double lostBenefit) {
    private static final int MAXIMUM_STEPS = 20_000;

    EvictionChoice {
        artifacts = List.copyOf(artifacts);
    }

    /**
     * Finds the set with the lowest loss of benefit.
     *
     * @param idle the artifacts that may be unloaded
     * @param missingBytes memory to free, bytes
     * @return the set; empty if unloading all idle artifacts does not free enough memory
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
