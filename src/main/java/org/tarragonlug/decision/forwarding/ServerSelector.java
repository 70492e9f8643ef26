package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * Chooses the backend server of a request: the one with the lowest sum of load, distance and
 * failures, less a bonus for the server that probably keeps the prompt's prefix.
 *
 * <p>All instances find the server of a prefix by rendezvous hashing of the prefix over the servers
 * that hold the model. They agree on it without messages, and a change of the servers moves only
 * the prefixes of the changed server. The bonus grows with the length of the prefix but never
 * exceeds {@link #MAX_PREFIX_BONUS}, so that a popular prefix spills over to other servers
 * before its own one queues.
 */
public final class ServerSelector {
    /** Cost of another failure domain, as a share of the slots in use. */
    private static final double DISTANCE_COST = 0.12;

    /** Cost of a server that fails every request. */
    private static final double FAILURE_COST = 3.0;

    /** A natural rate of errors that costs nothing. */
    private static final double TOLERATED_FAILURE_RATE = 0.3;

    private static final double MAX_PREFIX_BONUS = 0.35;
    private static final double BONUS_PER_PREFIX_TOKEN = 0.35 / 2000;

    private final Fleet fleet;
    private final FailureDomain homeDomain;
    private final Hasher hasher;

    /**
     * Creates the choice.
     *
     * @param fleet the known servers
     * @param home failure domain of this instance
     * @param hasher spreads prefixes over servers
     */
    public ServerSelector(Fleet fleet, FailureDomain home, Hasher hasher) {
        this.fleet = fleet;
        this.homeDomain = home;
        this.hasher = hasher;
    }

    /**
     * Chooses a server.
     *
     * @param service the service
     * @param model what the server must hold; empty for a plain service
     * @param prefix the prompt's shared prefix
     * @param excluded servers that this request must not meet again
     * @param now the present time
     * @return the best server; empty if none can take the request
     */
    public Optional<FleetServer> choose(
            ServiceName service,
            Optional<ModelKey> model,
            PromptPrefix prefix,
            Set<ServerId> excluded,
            Instant now) {
        FleetServer best = null;
        FleetServer prefixOwner = null;
        long highestHash = Long.MIN_VALUE;
        for (FleetServer server : fleet.servers()) {
            if (!isEligible(server, service, model, now)) {
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
        double lowestCost = Double.MAX_VALUE;
        for (FleetServer server : fleet.servers()) {
            if (!isEligible(server, service, model, now) || excluded.contains(server.id())) {
                continue;
            }
            double cost = cost(server, now);
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
            FleetServer server, ServiceName service, Optional<ModelKey> model, Instant now) {
        return server.service().equals(service)
                && server.isAvailable(now)
                && (model.isEmpty() || server.holds(model.get(), now));
    }

    private double cost(FleetServer server, Instant now) {
        double load = server.load(now) / Math.max(1, server.listing().slots());
        double distance = server.failureDomain().equals(homeDomain) ? 0 : DISTANCE_COST;
        double failures = Math.max(0, server.failureRate(now) - TOLERATED_FAILURE_RATE);
        return load + distance + failures * FAILURE_COST;
    }
}
