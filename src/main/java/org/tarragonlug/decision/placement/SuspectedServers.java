package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;

/**
 * Servers that instances fail to reach, although they are still listed.
 *
 * <p>The listing of a crashed server disappears after seconds, whereas connections to it fail at
 * once. A server is suspected while at least {@link #MIN_REPORTERS} instances report that they
 * cannot reach it, so one instance with a broken link is not enough. An instance that reaches
 * hardly any server is itself cut off, and its reports do not count. A wrong suspicion costs a load
 * of a model on another server; the suspected one goes on serving the instances that reach it.
 */
final class SuspectedServers {
    /** Number of instances that must fail to reach a server. */
    static final int MIN_REPORTERS = 2;

    /** Part of all servers beyond which an instance that cannot reach them is itself cut off. */
    private static final double MAX_UNREACHABLE_SHARE = 0.5;

    private static final Duration REPORT_VALIDITY = Duration.ofMillis(1500);

    private final Map<ServerId, Map<InstanceId, Instant>> reporters = new HashMap<>();

    /**
     * Records which servers an instance cannot reach.
     *
     * @param from the instance
     * @param unreachable the servers
     * @param listedServers number of all listed servers
     * @param now the present time
     */
    void onReport(InstanceId from, Set<ServerId> unreachable, int listedServers, Instant now) {
        reporters.values().forEach(each -> each.remove(from));
        if (unreachable.size() <= MAX_UNREACHABLE_SHARE * listedServers) {
            for (ServerId server : unreachable) {
                reporters.computeIfAbsent(server, each -> new HashMap<>()).put(from, now);
            }
        }
        reporters.values().removeIf(Map::isEmpty);
    }

    /** Returns the servers that are suspected now. */
    Set<ServerId> current(Instant now) {
        Set<ServerId> suspected = new HashSet<>();
        reporters.forEach(
                (server, instances) -> {
                    long valid =
                            instances.values().stream()
                                    .filter(at -> now.isBefore(at.plus(REPORT_VALIDITY)))
                                    .count();
                    if (valid >= MIN_REPORTERS) {
                        suspected.add(server);
                    }
                });
        return suspected;
    }
}
