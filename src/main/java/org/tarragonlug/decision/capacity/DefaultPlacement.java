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
 * <p>That time is the load time by cache tier, multiplied by the loads already ordered on the
 * server plus one, plus a time per queued request, plus a penalty when the failure domain already
 * holds a replica. Among equals the server with the least free memory wins, which keeps large holes
 * for large models.
 *
 * <p>Only when no server has room are idle artifacts unloaded. On each server the set with the
 * least total expected benefit that frees enough is found ({@link EvictionChoice}). Between
 * servers, the lost benefit is converted to seconds and added to the expected time: losing one unit
 * of benefit per second counts as {@code secondsPerLostBenefit}. A strict order by lost benefit
 * would accept a remote load in place of a cached one to save a negligible benefit.
 *
 * <p>Limits: the loads ahead on a server are assumed to be as long as this one, and the caller must
 * offer as idle only what may be unloaded on its own (a base model whose adapters are loaded may
 * not).
 */
public final class DefaultPlacement implements Placement {
    /**
     * A benefit lost over ten minutes, divided by a weight of 60 idle seconds per second of wait.
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
     * @param secondsPerLostBenefit seconds of load time that one unit of expected benefit per
     *     second is worth
     */
    public DefaultPlacement(LoadTimes loadTimes, double secondsPerLostBenefit) {
        this.loadTimes = loadTimes;
        this.secondsPerLostBenefit = secondsPerLostBenefit;
    }

    @Override
    public Optional<Choice> choose(
            ArtifactLimit wanted, List<ServerCandidate> candidates, Set<FailureDomain> occupied) {
        List<Option> options = new ArrayList<>();
        for (ServerCandidate candidate : candidates) {
            if (eligible(wanted, candidate) && candidate.freeBytes() >= wanted.memoryBytes()) {
                double cost = expectedSeconds(wanted, candidate, occupied);
                options.add(new Option(cost, candidate, List.of()));
            }
        }
        if (options.isEmpty()) {
            addEvictions(options, wanted, candidates, occupied);
        }
        return options.stream().min(Option.ORDER).map(Option::choice);
    }

    private void addEvictions(
            List<Option> options,
            ArtifactLimit wanted,
            List<ServerCandidate> candidates,
            Set<FailureDomain> occupied) {
        for (ServerCandidate candidate : candidates) {
            if (!eligible(wanted, candidate)) {
                continue;
            }
            long missing = wanted.memoryBytes() - candidate.freeBytes();
            Optional<EvictionChoice> eviction =
                    EvictionChoice.cheapest(evictable(wanted, candidate), missing);
            if (eviction.isPresent()) {
                double cost =
                        expectedSeconds(wanted, candidate, occupied)
                                + secondsPerLostBenefit * eviction.get().lostBenefit();
                options.add(new Option(cost, candidate, eviction.get().artifacts()));
            }
        }
    }

    private static boolean eligible(ArtifactLimit wanted, ServerCandidate candidate) {
        return !candidate.holdsReplica() && (!wanted.isAdapter() || candidate.holdsBaseModel());
    }

    private static List<ServerCandidate.IdleArtifact> evictable(
            ArtifactLimit wanted, ServerCandidate candidate) {
        return candidate.idle().stream()
                .filter(idle -> !wanted.baseModel().equals(Optional.of(idle.artifact())))
                .toList();
    }

    private double expectedSeconds(
            ArtifactLimit wanted, ServerCandidate candidate, Set<FailureDomain> occupied) {
        Duration load = loadTimes.expected(wanted, candidate.tier());
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
