package org.tarragonlug.decision.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.tarragonlug.decision.account.AccountDirectory;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.ServiceName;

/**
 * The routes, services and client accounts of one version of the configuration.
 *
 * <p>The routes of a host are sorted by descending prefix length, which makes the first match the
 * most specific one. A host has tens to hundreds of routes, and a linear scan of their prefixes
 * takes less time than reading the request.
 */
public final class ForwardingTable {
    private final ConfigurationVersion version;
    private final Map<String, List<ForwardingRoute>> routesByHost = new HashMap<>();
    private final Map<ServiceName, ForwardingService> services = new HashMap<>();
    private final OptionalLong bodyLimit;
    private final AccountDirectory accounts;

    /**
     * Creates a table without accounts that does not limit the bodies of requests.
     *
     * @param version version of the configuration
     * @param routes all routes, in any order
     * @param services all services, with distinct names
     */
    public ForwardingTable(
            ConfigurationVersion version,
            List<ForwardingRoute> routes,
            List<ForwardingService> services) {
        this(version, routes, services, OptionalLong.empty(), AccountDirectory.EMPTY);
    }

    /**
     * Creates a table.
     *
     * @param version version of the configuration
     * @param routes all routes, in any order
     * @param services all services, with distinct names
     * @param bodyLimit length of the longest body of a request in bytes; empty if not limited
     * @param accounts the client accounts
     */
    public ForwardingTable(
            ConfigurationVersion version,
            List<ForwardingRoute> routes,
            List<ForwardingService> services,
            OptionalLong bodyLimit,
            AccountDirectory accounts) {
        this.version = version;
        this.bodyLimit = bodyLimit;
        this.accounts = accounts;
        for (ForwardingRoute route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(route);
        }
        Comparator<ForwardingRoute> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /** Returns the configuration version from which this table was built. */
    public ConfigurationVersion version() {
        return version;
    }

    /** Returns all services by name. */
    public Map<ServiceName, ForwardingService> services() {
        return services;
    }

    /** Returns the length of the longest body of a request in bytes; empty if not limited. */
    public OptionalLong bodyLimit() {
        return bodyLimit;
    }

    /** Returns the client accounts; empty if no request needs a key. */
    public AccountDirectory accounts() {
        return accounts;
    }

    /** Returns the total number of routes over all hosts. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /**
     * Returns the route with the longest matching prefix; empty if no route matches.
     *
     * @param host host named by the request, without port, in any case
     * @param path path without query
     */
    public Optional<ForwardingRoute> route(String host, String path) {
        List<ForwardingRoute> candidates = routesByHost.get(host.toLowerCase(Locale.ROOT));
        if (candidates == null) {
            return Optional.empty();
        }
        for (ForwardingRoute route : candidates) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
