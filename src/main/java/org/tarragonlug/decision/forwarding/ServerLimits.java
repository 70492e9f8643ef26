package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.id.ServiceName;

/**
 * The limits of servers that have started or recovered, and what servers are compared with.
 *
 * <p>The limit of a run of a server is kept when its listing disappears, so that a run that is
 * listed again, as after an outage of the store, is not taken for a new one. A new run is limited
 * only if another server of its service has been in use for a while. When a whole deployment or an
 * instance starts, there is none, and its requests have nowhere else to go.
 */
final class ServerLimits {
    /** Time for which another server must have been in use when a new one is limited. */
    private static final Duration ESTABLISHED_AGE = Duration.ofSeconds(5);

    /** Number of random bits in the fraction of a double. */
    private static final int FRACTION_BITS = 53;

    private final String instance;
    private final Hasher hasher;
    private final InstanceCount instances;
    private final RecentRuns<AdaptiveLimit> limits = new RecentRuns<>();
    private final UsualAnswerTimes usualTimes = new UsualAnswerTimes();
    private final Map<ServiceName, Double> usualLoads = new HashMap<>();
    private Map<ServerIncarnation, LimitCause> reported = Map.of();

    /**
     * Creates the limits of an instance that knows no servers yet.
     *
     * @param instance name of this instance, different from that of all others
     * @param hasher hashes instance and server to the point at which shares are rounded
     * @param assumedInstances number of instances assumed to share limits until they are counted
     */
    ServerLimits(String instance, Hasher hasher, int assumedInstances) {
        this.instance = instance;
        this.hasher = hasher;
        this.instances = new InstanceCount(assumedInstances);
    }

    /** Returns the number of instances that share each limit. */
    InstanceCount instances() {
        return instances;
    }

    /** Returns the limit of a run of a server; empty if the run was never listed. */
    Optional<AdaptiveLimit> of(ServerIncarnation run) {
        return Optional.ofNullable(limits.get(run));
    }

    /** Returns the limit of a listed run, and begins it if the run is new beside other servers. */
    AdaptiveLimit ofListed(ServerListing listing, Collection<FleetServer> servers, Instant now) {
        ServerIncarnation run = new ServerIncarnation(listing.id(), listing.startedMillis());
        AdaptiveLimit known = limits.get(run);
        if (known != null) {
            return known;
        }
        AdaptiveLimit limit = new AdaptiveLimit(roundingPoint(run), listing.slots());
        limits.put(run, limit);
        boolean hasComparable =
                servers.stream()
                        .filter(each -> each.service().equals(listing.service()))
                        .filter(each -> !each.id().equals(listing.id()))
                        .anyMatch(each -> each.isEstablished(ESTABLISHED_AGE, now));
        if (hasComparable) {
            limit.begin(LimitCause.START, now);
        }
        return limit;
    }

    private double roundingPoint(ServerIncarnation run) {
        long hash = hasher.hash(instance + "@" + run.server() + "@" + run.startedMillis());
        return (double) (hash >>> (Long.SIZE - FRACTION_BITS)) / (1L << FRACTION_BITS);
    }

    /** Records the time in which a server began to answer a request. */
    void recordAnswer(FleetServer server, RouteName route, Duration time, Instant now) {
        if (server.limit().isUnused()) {
            usualTimes.record(server.service(), route, time);
        } else {
            double relative = usualTimes.relative(server.service(), route, time);
            server.limit().recordAnswer(relative, now);
        }
    }

    /** Records how many requests servers have that are not limited. */
    void recordTotals(Map<ServerId, Integer> totals, Collection<FleetServer> servers, Instant now) {
        Map<ServiceName, Double> requests = new HashMap<>();
        Map<ServiceName, Integer> slots = new HashMap<>();
        for (FleetServer server : servers) {
            if (server.isAvailable(now) && server.limit().isUnused()) {
                int total = totals.getOrDefault(server.id(), 0);
                requests.merge(server.service(), (double) total, Double::sum);
                slots.merge(server.service(), Math.max(1, server.listing().slots()), Integer::sum);
            }
        }
        usualLoads.clear();
        requests.forEach(
                (service, sum) -> usualLoads.put(service, sum / slots.get(service).doubleValue()));
    }

    /**
     * Applies the time that has passed to the limits of listed servers.
     *
     * @return the limits that have begun or ended since the last call
     */
    List<ForwardingCommand.ReportLimit> advance(Collection<FleetServer> servers, Instant now) {
        Set<ServiceName> withModels = new HashSet<>();
        for (FleetServer server : servers) {
            if (server.holdsModels()) {
                withModels.add(server.service());
            }
        }
        Map<ServerIncarnation, LimitCause> current = new HashMap<>();
        for (FleetServer server : servers) {
            boolean usable = server.holdsModels() || !withModels.contains(server.service());
            advance(server, usable, now);
            server.limit()
                    .reportedCause(now)
                    .ifPresent(cause -> current.put(server.incarnation(), cause));
        }
        return changes(current, now);
    }

    /** A server without a model cannot show its pace, so its limit begins with the first one. */
    private void advance(FleetServer server, boolean usable, Instant now) {
        AdaptiveLimit limit = server.limit();
        if (!usable && limit.cause(now).filter(each -> each == LimitCause.START).isPresent()) {
            limit.defer(now);
        }
        double usualTotal =
                usualLoads.getOrDefault(server.service(), 0.0) * server.listing().slots();
        server.advanceLimit(usualTotal, now);
    }

    private List<ForwardingCommand.ReportLimit> changes(
            Map<ServerIncarnation, LimitCause> current, Instant now) {
        List<ForwardingCommand.ReportLimit> changes = new ArrayList<>();
        reported.forEach(
                (run, cause) -> {
                    if (current.get(run) != cause) {
                        changes.add(report(run, cause, false, now));
                    }
                });
        current.forEach(
                (run, cause) -> {
                    if (reported.get(run) != cause) {
                        changes.add(report(run, cause, true, now));
                    }
                });
        reported = current;
        return changes;
    }

    private ForwardingCommand.ReportLimit report(
            ServerIncarnation run, LimitCause cause, boolean begins, Instant now) {
        double limit = of(run).map(each -> each.limit(now)).orElse(0.0);
        return new ForwardingCommand.ReportLimit(run, cause, begins, limit);
    }
}
