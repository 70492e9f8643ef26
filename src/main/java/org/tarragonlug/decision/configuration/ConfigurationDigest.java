package org.tarragonlug.decision.configuration;

import java.util.List;
import java.util.TreeMap;
import org.tarragonlug.decision.Hasher;

/**
 * Computes the digest of the content of a configuration. The digest is the same in every process
 * and independent of the order of the rows.
 *
 * <p>The digest is the sum of the hashes of the rows, so the order does not matter. It detects
 * faulty deltas; it does not protect against deliberate manipulation. A release that adds a field
 * to a row computes different digests. A process that receives a delta from another release
 * therefore requests the complete configuration, whose digest is not compared.
 */
public final class ConfigurationDigest {
    private final Hasher hasher;

    /** Creates an instance with a hash function that is the same in every process. */
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
