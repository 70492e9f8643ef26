package org.tarragonlug.decision.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.ServiceName;

/**
 * One version of the configuration: routes and services.
 *
 * <p>Routes of a host are kept with the longest prefix first, so that the first match is the most
 * specific one. A host has tens to hundreds of routes; a linear scan of their prefixes takes less
 * than reading the request.
 */
public final class ForwardingTable {
    private final ConfigurationVersion version;
    private final Map<String, List<ForwardingRoute>> routesByHost = new HashMap<>();
    private final Map<ServiceName, ForwardingService> services = new HashMap<>();

    /**
     * Creates the table.
     *
     * @param version its version
     * @param routes all routes
     * @param services all services
     */
    public ForwardingTable(
            ConfigurationVersion version,
            List<ForwardingRoute> routes,
            List<ForwardingService> services) {
        this.version = version;
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

    /** Returns the version. */
    public ConfigurationVersion version() {
        return version;
    }

    /** Returns all services. */
    public Map<ServiceName, ForwardingService> services() {
        return services;
    }

    /** Returns how many routes there are. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /**
     * Finds the most specific route of a request.
     *
     * @param host host named by the request, without port
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
