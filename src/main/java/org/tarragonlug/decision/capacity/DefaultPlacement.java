package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/**
 * Chooses the server with the shortest expected time until the artifact is ready.
 *
 * <p>The expected time is the load time for the cache tier, multiplied by the number of loads
 * already ordered on the server plus one, plus a time per queued request, plus a penalty if the
 * failure domain already holds a replica. Among servers with equal times the one with the least
 * free memory is chosen, which keeps large free areas for large models.
 *
 * <p>Idle artifacts are unloaded only if no server has enough free memory. On each server, {@link
 * EvictionChoice} finds the set with the lowest total expected benefit that frees enough memory. To
 * compare servers, the lost benefit is converted to seconds and added to the expected time: one
 * unit of lost benefit per second counts as {@code secondsPerLostBenefit}. A strict order by lost
 * benefit would choose a remote load instead of a load from a cache only to save a negligible
 * benefit.
 *
 * <p>Limits: the loads already ordered on a server are assumed to take as long as the new one. The
 * caller must offer as idle only artifacts that may be unloaded independently of others; a base
 * model whose adapters are loaded may not.
 */
public final class DefaultPlacement implements Placement {
    /**
     * Default weight of lost benefit: the benefit lost over ten minutes, divided by a cold-start
     * weight of 60 idle seconds per second of wait.
     */
    public static final double DEFAULT_SECONDS_PER_LOST_BENEFIT = 10;

    private static final double SECONDS_PER_QUEUED_REQUEST = 0.05;
    private static final double SAME_FAILURE_DOMAIN_SECONDS = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadTimes loadTimes;
    private final double secondsPerLostBenefit;

    /**
     * Creates a placement.
     *
     * @param loadTimes expected load times
     * @param secondsPerLostBenefit load time in seconds that is equivalent to one unit of lost
     *     expected benefit per second
     */
    public DefaultPlacement(LoadTimes loadTimes, double secondsPerLostBenefit) {
        this.loadTimes = loadTimes;
        this.secondsPerLostBenefit = secondsPerLostBenefit;
    }

    @Override
    public Optional<Choice> choose(
            ArtifactLimit toPlace, List<ServerCandidate> candidates, Set<FailureDomain> occupied) {
        List<Option> options = new ArrayList<>();
        for (ServerCandidate candidate : candidates) {
            if (eligible(toPlace, candidate) && candidate.freeBytes() >= toPlace.memoryBytes()) {
                double cost = expectedSeconds(toPlace, candidate, occupied);
                options.add(new Option(cost, candidate, List.of()));
            }
        }
        if (options.isEmpty()) {
            addEvictions(options, toPlace, candidates, occupied);
        }
        return options.stream().min(Option.ORDER).map(Option::choice);
    }

    private void addEvictions(
            List<Option> options,
            ArtifactLimit toPlace,
            List<ServerCandidate> candidates,
            Set<FailureDomain> occupied) {
        for (ServerCandidate candidate : candidates) {
            if (!eligible(toPlace, candidate)) {
                continue;
            }
            long missing = toPlace.memoryBytes() - candidate.freeBytes();
            Optional<EvictionChoice> eviction =
                    EvictionChoice.cheapest(evictable(toPlace, candidate), missing);
            if (eviction.isPresent()) {
                double cost =
                        expectedSeconds(toPlace, candidate, occupied)
                                + secondsPerLostBenefit * eviction.get().lostBenefit();
                options.add(new Option(cost, candidate, eviction.get().artifacts()));
            }
        }
    }

    private static boolean eligible(ArtifactLimit toPlace, ServerCandidate candidate) {
        return !candidate.holdsReplica() && (!toPlace.isAdapter() || candidate.holdsBaseModel());
    }

    private static List<ServerCandidate.IdleArtifact> evictable(
            ArtifactLimit toPlace, ServerCandidate candidate) {
        return candidate.idle().stream()
                .filter(idle -> !toPlace.baseModel().equals(Optional.of(idle.artifact())))
                .toList();
    }

    private double expectedSeconds(
            ArtifactLimit toPlace, ServerCandidate candidate, Set<FailureDomain> occupied) {
        Duration load = loadTimes.expected(toPlace, candidate.tier());
        double seconds = load.toNanos() / NANOS_PER_SECOND * (1 + candidate.loadsInProgress());
        seconds += SECONDS_PER_QUEUED_REQUEST * candidate.queued();
        if (occupied.contains(candidate.failureDomain())) {
            seconds += SAME_FAILURE_DOMAIN_SECONDS;
        }
        return seconds;
    }

    private record Option(double cost, ServerCandidate candidate, List<ArtifactId> unloadFirst) {
        static final Comparator<Option> ORDER =
                Comparator.comparingDouble(Option::cost)
                        .thenComparingLong(option -> option.candidate.freeBytes())
                        .thenComparing(Option::server);

        ServerId server() {
            return candidate.server();
        }

        Choice choice() {
            return new Choice(candidate.server(), unloadFirst);
        }
    }
}
