package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;

/**
 * Simple policies for tests: placement on the server with the most free memory, and a fixed keep
 * time.
 */
final class SimplePolicies {
    private SimplePolicies() {}

    /**
     * Chooses the server with the most free memory, preferring unused failure domains. If no server
     * has enough free memory, chooses the first server on which unloads can free enough.
     */
    static final class MostFreeMemory implements Placement {
        @Override
        public Optional<Choice> choose(
                ArtifactLimit toPlace, List<ServerCandidate> candidates, Set<FailureDomain> used) {
            Comparator<ServerCandidate> order =
                    Comparator.comparing((ServerCandidate c) -> !used.contains(c.failureDomain()))
                            .thenComparing(ServerCandidate::freeBytes);
            Optional<ServerCandidate> fitting =
                    candidates.stream()
                            .filter(c -> c.freeBytes() >= toPlace.memoryBytes())
                            .max(order);
            if (fitting.isPresent()) {
                return fitting.map(c -> new Choice(c.server(), List.of()));
            }
            return candidates.stream().flatMap(c -> makeRoom(toPlace, c).stream()).findFirst();
        }

        private static Optional<Choice> makeRoom(ArtifactLimit toPlace, ServerCandidate candidate) {
            long free = candidate.freeBytes();
            List<ArtifactId> victims = new ArrayList<>();
            for (ServerCandidate.IdleArtifact idle : candidate.idle()) {
                if (free < toPlace.memoryBytes()) {
                    victims.add(idle.artifact());
                    free += idle.memoryBytes();
                }
            }
            return free >= toPlace.memoryBytes()
                    ? Optional.of(new Choice(candidate.server(), victims))
                    : Optional.empty();
        }
    }

    /** Keeps every artifact for the same time and prewarms nothing. */
    record KeepFor(Duration time) implements KeepWarmPolicy {
        @Override
        public void recordArrivals(ArtifactId artifact, int count, Instant now) {}

        @Override
        public Duration keepFor(ArtifactId a, Duration coldStart, double weight, Instant now) {
            return time;
        }

        @Override
        public boolean shouldPrewarm(ArtifactId a, Duration coldStart, double weight, Instant now) {
            return false;
        }

        @Override
        public double expectedBenefit(ArtifactId a, Duration cold, double weight, Instant now) {
            return 1;
        }
    }
}
