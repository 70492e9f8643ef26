package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * Selects the backend server for a request: the server with the lowest cost. The cost is the sum of
 * load, distance and failures, less a bonus for the server that probably has the prompt's prefix
 * cached.
 *
 * <p>Each instance determines the server of a prefix by rendezvous hashing of the prefix over the
 * servers that hold the model. All instances arrive at the same server without messages, and a
 * change of the servers moves only the prefixes of the changed server. The bonus grows with the
 * length of the prefix but never exceeds {@link #MAX_PREFIX_BONUS}. The bound makes requests with a
 * popular prefix spill over to other servers before requests queue at the server of the prefix.
 *
 * <p>What an instance knows of the load is old: with many instances, most requests at a server come
 * from others. Instances that always chose the lowest cost would all choose the same server until
 * the news of its load arrives, and then all choose the next one. Therefore each request adds a
 * random cost of its own to every server, so that a server is chosen with a probability that falls
 * exponentially with its cost. A difference of {@link #SPREAD} divides the probability by e; much
 * cheaper servers are still chosen almost always. The random costs are hashes of request and
 * server, so that a repeated choice for the same request does not vary by chance.
 *
 * <p>Load costs its square: below about half of the slots it hardly delays requests, so prefix and
 * distance decide there, while near the full number of slots load decides alone.
 *
 * <p>The square of the load stands for the wait until a slot is free, in units of the usual time of
 * a request. On a server where work takes longer ({@link ServerPace}), both this wait and the
 * processing take longer: the wait is multiplied by the pace, and the additional time of processing
 * is added. On a server of the usual pace the cost is that of the load alone. A plain answer counts
 * in full. Of a stream, the time to the first event counts, which is a part of the processing; and
 * a pace that the server stated has often changed before a request that waits is processed.
 */
public final class ServerSelector {
    /** Cost of a server in another failure domain. */
    private static final double DISTANCE_COST = 0.12;

    /** Cost per unit of the failure rate beyond {@link #TOLERATED_FAILURE_RATE}. */
    private static final double FAILURE_COST = 3.0;

    /**
     * Cost of a server that other instances cannot reach. It is not excluded, because this instance
     * may reach it all the same.
     */
    private static final double SUSPICION_COST = 1.0;

    /** Failure rate that is considered normal and has no cost. */
    private static final double TOLERATED_FAILURE_RATE = 0.3;

    /** Part of the processing of a stream that passes before its first event. */
    private static final double FIRST_EVENT_SHARE = 0.25;

    /** Probability that a stated pace still holds when a stream that waits is processed. */
    private static final double STATED_PACE_WEIGHT = 0.4;

    private static final double MAX_PREFIX_BONUS = 0.35;
    private static final double BONUS_PER_PREFIX_TOKEN = 0.35 / 2000;

    /** Difference of costs that makes a server less likely by a factor of e. */
    private static final double SPREAD = 0.08;

    /** Number of random bits in the fraction of a double. */
    private static final int FRACTION_BITS = 53;

    private final Fleet fleet;
    private final FailureDomain homeDomain;
    private final Hasher hasher;

    /**
     * Creates a selector.
     *
     * @param fleet the known servers
     * @param home failure domain of this instance
     * @param hasher hashes prefixes and server ids for rendezvous hashing
     */
    public ServerSelector(Fleet fleet, FailureDomain home, Hasher hasher) {
        this.fleet = fleet;
        this.homeDomain = home;
        this.hasher = hasher;
    }

    /**
     * Returns the server with the lowest cost; empty if no eligible server is left.
     *
     * @param service the service
     * @param model model and adapter that the server must hold; empty for a plain service
     * @param prefix prompt prefix that the request shares with others
     * @param excluded servers that must not receive this request again
     * @param requestId id of the request, which determines its random costs
     * @param now the present time
     * @return the chosen server
     */
    public Optional<FleetServer> choose(
            ServiceName service,
            Optional<ModelKey> model,
            PromptPrefix prefix,
            Set<ServerId> excluded,
            String requestId,
            Instant now) {
        return choose(
                service,
                model,
                prefix,
                excluded,
                requestId,
                server -> server.isAvailable(now),
                now);
    }

    /**
     * Returns the server with the lowest cost as {@link #choose} does, among servers that meet a
     * condition.
     *
     * @param usable tells whether a server may get the request now
     */
    Optional<FleetServer> choose(
            ServiceName service,
            Optional<ModelKey> model,
            PromptPrefix prefix,
            Set<ServerId> excluded,
            String requestId,
            Predicate<FleetServer> usable,
            Instant now) {
        List<FleetServer> candidates = fleet.candidates(service, model);
        FleetServer best = null;
        FleetServer prefixOwner = null;
        long highestHash = Long.MIN_VALUE;
        for (FleetServer server : candidates) {
            if (!isEligible(server, service, model, usable, now)) {
                continue;
            }
            if (!prefix.isEmpty()) {
                long hash = hasher.hash(prefix.key() + "@" + server.id());
                if (prefixOwner == null || hash > highestHash) {
                    highestHash = hash;
                    prefixOwner = server;
                }
            }
        }
        double processingShare = model.isPresent() ? FIRST_EVENT_SHARE : 1;
        double statedWeight = model.isPresent() ? STATED_PACE_WEIGHT : 1;
        double lowestCost = Double.MAX_VALUE;
        for (FleetServer server : candidates) {
            if (!isEligible(server, service, model, usable, now)
                    || excluded.contains(server.id())) {
                continue;
            }
            double cost =
                    cost(server, processingShare, statedWeight, now)
                            + randomCost(requestId, server);
            if (server == prefixOwner) {
                cost -= Math.min(MAX_PREFIX_BONUS, prefix.tokens() * BONUS_PER_PREFIX_TOKEN);
            }
            if (best == null || cost < lowestCost) {
                lowestCost = cost;
                best = server;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isEligible(
            FleetServer server,
            ServiceName service,
            Optional<ModelKey> model,
            Predicate<FleetServer> usable,
            Instant now) {
        return usable.test(server) && server.canRun(service, model, now);
    }

    private double cost(
            FleetServer server, double processingShare, double statedWeight, Instant now) {
        double load = server.load(now) / Math.max(1, server.listing().slots());
        double distance = server.failureDomain().equals(homeDomain) ? 0 : DISTANCE_COST;
        double failures = Math.max(0, server.failureRate(now) - TOLERATED_FAILURE_RATE);
        double suspicion = server.isSuspected(now) ? SUSPICION_COST : 0;
        double time = load * load;
        if (!server.pace().isUsual()) {
            time = time(server.pace(), load, processingShare, statedWeight, now);
        }
        return time + distance + failures * FAILURE_COST + suspicion;
    }

    private static double time(
            ServerPace pace,
            double load,
            double processingShare,
            double statedWeight,
            Instant now) {
        double wait = pace.combined(statedWeight, now) * load * load;
        return wait + processingShare * (pace.combined(1, now) - 1);
    }

    /**
     * Returns a Gumbel-distributed cost. The minimum of costs with such additions falls on a server
     * with a probability proportional to exp(-cost / {@link #SPREAD}).
     */
    private double randomCost(String requestId, FleetServer server) {
        long hash = hasher.hash(requestId + "@" + server.id());
        double uniform = ((hash >>> (Long.SIZE - FRACTION_BITS)) + 0.5) / (1L << FRACTION_BITS);
        return SPREAD * Math.log(-Math.log(uniform));
    }
}
