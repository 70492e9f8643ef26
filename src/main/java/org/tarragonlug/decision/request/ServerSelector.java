package org.tarragonlug.decision.request;

import java.util.List;
import java.util.random.RandomGenerator;
import org.tarragonlug.id.FailureDomain;

/**
 * Selects the server with the lowest expected time: its load times its measured time per token.
 * This product is reduced for a server that has the prompt's prefix cached, and also for a server
 * in this instance's failure domain, and is increased for a server whose last attempts failed.
 * Among many servers, only a random sample is compared. This keeps the cost constant and prevents
 * several entry instances from selecting the same server.
 */
final class ServerSelector {
    private static final int SAMPLE_SIZE = 16;

    /**
     * Factor for a server that has the prefix cached: caching saves most of the prompt's work, but
     * not the generation.
     */
    private static final double PREFIX_FACTOR = 0.7;

    /**
     * Factor for a server in the same failure domain. A server in another failure domain costs
     * about 3 ms more per round trip, which is 1% of the time to the first token.
     */
    private static final double OWN_DOMAIN_FACTOR = 0.98;

    /**
     * Factor for the server of the last failed attempt, which is selected only if no other server
     * has room.
     */
    private static final double AVOIDED_FACTOR = 1e6;

    private final FailureDomain ownDomain;
    private final RandomGenerator random;

    ServerSelector(FailureDomain ownDomain, RandomGenerator random) {
        this.ownDomain = ownDomain;
        this.random = random;
    }

    /** Returns the best server with room, or null if no server has room. */
    BackendServer select(PendingRequest request) {
        if (request.preferredServer != null && isCandidate(request.preferredServer, request)) {
            return request.preferredServer;
        }
        List<BackendServer> ready = request.target.replicas.ready;
        double fallback = lowestMillisPerToken(ready);
        BackendServer best = null;
        double bestScore = Double.MAX_VALUE;
        int start = ready.size() > 1 ? random.nextInt(ready.size()) : 0;
        int compared = 0;
        for (int index = 0; index < ready.size() && compared < SAMPLE_SIZE; index++) {
            BackendServer server = ready.get((start + index) % ready.size());
            if (!isCandidate(server, request)) {
                continue;
            }
            compared++;
            double score = score(server, request, fallback);
            if (score < bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return best;
    }

    private boolean isCandidate(BackendServer server, PendingRequest request) {
        return server.isUsable()
                && server.hasRoom()
                && !(request.isolated && server.runningSuspects > 0);
    }

    private double score(BackendServer server, PendingRequest request, double fallback) {
        // The factor for failures is needed because a server that fails requests immediately has
        // little load, and would otherwise attract all requests.
        double score =
                (server.load() + 1)
                        * server.millisPerToken(fallback)
                        * (1 + server.consecutiveFailures());
        if (server == request.avoidedServer) {
            score *= AVOIDED_FACTOR;
        }
        if (server.hasPrefix(request.description.prefixHash())) {
            score *= PREFIX_FACTOR;
        }
        if (server.failureDomain.isPresent() && server.failureDomain.get().equals(ownDomain)) {
            score *= OWN_DOMAIN_FACTOR;
        }
        return score;
    }

    /**
     * Returns the lowest measured time per token, which is assumed for servers that were never
     * measured so that they are tried.
     */
    private static double lowestMillisPerToken(List<BackendServer> ready) {
        double fastest = Double.MAX_VALUE;
        for (int index = 0; index < Math.min(SAMPLE_SIZE, ready.size()); index++) {
            if (ready.get(index).hasMeasuredSpeed()) {
                fastest = Math.min(fastest, ready.get(index).millisPerToken(1));
            }
        }
        return fastest == Double.MAX_VALUE ? 1 : fastest;
    }
}
