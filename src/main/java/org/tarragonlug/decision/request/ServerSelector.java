package org.tarragonlug.decision.request;

import java.util.List;
import java.util.random.RandomGenerator;
import org.tarragonlug.id.FailureDomain;

/**
 * Chooses the server with the least expected time: its load times its measured slowness, less for a
 * cached prefix and for the own failure domain. Among many servers it compares a random sample,
 * which keeps the cost constant and several entry instances from choosing the same one.
 */
final class ServerSelector {
    private static final int SAMPLE_SIZE = 16;

    /** A cached prefix saves most of the prompt's work, but not the generation. */
    private static final double PREFIX_FACTOR = 0.7;

    /** Another failure domain costs about 3 ms a round trip, 1% of the time to the first token. */
    private static final double OWN_DOMAIN_FACTOR = 0.98;

    /** The server of the last failure is taken only if no other has room. */
    private static final double AVOIDED_FACTOR = 1e6;

    private final FailureDomain ownDomain;
    private final RandomGenerator random;

    ServerSelector(FailureDomain ownDomain, RandomGenerator random) {
        this.ownDomain = ownDomain;
        this.random = random;
    }

    /** Returns the best server with room, or null. */
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
        // A server that fails at once has little load, and would otherwise attract everything.
        double score = (server.load() + 1) * server.millisPerToken(fallback) * (1 + server.consecutiveFailures());
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

    /** A server that was never measured counts as fast, so that it is tried. */
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
