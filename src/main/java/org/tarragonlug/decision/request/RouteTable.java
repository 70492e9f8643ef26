package org.tarragonlug.decision.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.VersionWeight;
import org.tarragonlug.id.ArtifactId;

/**
 * Matches requests to routes. The most specific route wins: longest path prefix first, then routes
 * that name the model, then the route with the most headers, then table order. A prefix matches
 * complete path segments.
 *
 * <p>Routes are indexed by prefix and model, so matching costs one look-up per path segment and not
 * one comparison per route.
 */
final class RouteTable {
    private static final String ANY_MODEL = "";

    private final Map<String, Map<String, List<Route>>> byPrefix = new HashMap<>();

    RouteTable(Configuration configuration) {
        for (Route route : configuration.routes()) {
            Map<String, List<Route>> byModel =
                    byPrefix.computeIfAbsent(
                            withoutTrailingSlash(route.pathPrefix()), prefix -> new HashMap<>());
            List<String> models = route.models().isEmpty() ? List.of(ANY_MODEL) : route.models();
            for (String model : models) {
                byModel.computeIfAbsent(model, name -> new ArrayList<>()).add(route);
            }
        }
        Comparator<Route> mostHeadersFirst =
                Comparator.comparingInt((Route route) -> route.headers().size()).reversed();
        byPrefix.values()
                .forEach(
                        byModel ->
                                byModel.values().forEach(routes -> routes.sort(mostHeadersFirst)));
    }

    Optional<Route> match(RequestDescription description) {
        String model = description.artifact().map(RouteTable::nameWithoutVersion).orElse(ANY_MODEL);
        String prefix = withoutTrailingSlash(description.path());
        while (true) {
            Route found = matchWithin(byPrefix.get(prefix), model, description.headers());
            if (found != null) {
                return Optional.of(found);
            }
            int slash = prefix.lastIndexOf('/');
            if (slash < 0) {
                return Optional.empty();
            }
            prefix = prefix.substring(0, slash);
        }
    }

    /**
     * Selects the artifact for a request whose route targets a pool. A route with weighted versions
     * draws one of them. The result is empty if neither the request nor the route names an
     * artifact, or if the name is malformed.
     */
    static Optional<ArtifactId> artifact(
            Route route, RequestDescription description, RandomGenerator random) {
        Optional<String> requested = description.artifact().filter(text -> !text.isEmpty());
        if (requested.isEmpty() && route.models().size() == 1) {
            requested = Optional.of(route.models().get(0));
        }
        Optional<String> name = requested.map(RouteTable::nameWithoutVersion);
        int total = 0;
        for (VersionWeight version : route.versions()) {
            total += appliesTo(version, name) ? version.weight() : 0;
        }
        if (total > 0) {
            int draw = random.nextInt(total);
            for (VersionWeight version : route.versions()) {
                draw -= appliesTo(version, name) ? version.weight() : 0;
                if (draw < 0) {
                    return Optional.of(version.artifact());
                }
            }
        }
        return requested.flatMap(RouteTable::parse);
    }

    private static Route matchWithin(
            Map<String, List<Route>> byModel, String model, Map<String, String> headers) {
        if (byModel == null) {
            return null;
        }
        Route found = firstMatching(byModel.get(model), headers);
        return found != null ? found : firstMatching(byModel.get(ANY_MODEL), headers);
    }

    private static Route firstMatching(List<Route> routes, Map<String, String> headers) {
        if (routes == null) {
            return null;
        }
        for (Route route : routes) {
            if (headers.entrySet().containsAll(route.headers().entrySet())) {
                return route;
            }
        }
        return null;
    }

    private static boolean appliesTo(VersionWeight version, Optional<String> name) {
        return name.isEmpty() || version.artifact().name().equals(name.get());
    }

    private static String nameWithoutVersion(String text) {
        int at = text.indexOf('@');
        return at < 0 ? text : text.substring(0, at);
    }

    private static Optional<ArtifactId> parse(String text) {
        int at = text.indexOf('@');
        boolean malformed = at == 0 || at == text.length() - 1 || text.indexOf('@', at + 1) > 0;
        if (at >= 0 && malformed) {
            return Optional.empty();
        }
        return Optional.of(ArtifactId.parse(text));
    }

    private static String withoutTrailingSlash(String path) {
        return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
    }
}
