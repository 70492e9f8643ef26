package org.tarragonlug.decision.configuration;

import java.util.List;
import java.util.TreeMap;
import org.tarragonlug.decision.Hasher;

/**
 * Digest of the content of a configuration, the same in every process whatever the order of rows.
 *
 * <p>It is the sum of the hashes of the rows, so the order does not matter. It guards against
 * faults of deltas, not against malice. A release that adds a field to a row computes other
 * digests, so between two releases deltas are answered by asking for the whole configuration, whose
 * digest is not compared.
 */
public final class ConfigurationDigest {
    private final Hasher hasher;

    /** Creates digests with a hash function that is the same in every process. */
    public ConfigurationDigest(Hasher hasher) {
        this.hasher = hasher;
    }

    /** Returns the digest of the rows. */
    public long of(List<Route> routes, List<Pool> pools) {
        long sum = 0;
        for (Route route : routes) {
            sum += hasher.hash(canonicalText(route));
        }
        for (Pool pool : pools) {
            sum += hasher.hash("pool:" + pool);
        }
        return sum;
    }

    private static String canonicalText(Route route) {
        return String.join(
                "|",
                "route:" + route.name(),
                route.pathPrefix(),
                route.models().toString(),
                new TreeMap<>(route.headers()).toString(),
                route.target().name(),
                route.pool().toString(),
                route.service().toString(),
                route.versions().toString(),
                route.idempotent() + "," + route.keyRequired() + "," + route.priority(),
                route.defaultTimeout() + "," + route.maximumTimeout() + "," + route.share(),
                route.requestsPerSecond() + "," + route.maximumBodyBytes());
    }
}
