package org.tarragonlug.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ForwardRequest;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ForwardingRoute;
import org.tarragonlug.decision.forwarding.ForwardingService;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.PromptPrefix;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.forwarding.WeightedService;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** The route, the listings and the request of an explored kind, as events of the coordinator. */
record ExploredConfiguration(ExploredRequestKind kind) {
    /** Time that callers wait. */
    static final Duration TIMEOUT = Duration.ofSeconds(6);

    static final String SHARED_ADDRESS = "10.0.0.1:1";
    static final String OTHER_ADDRESS = "10.0.0.2:2";

    private static final Duration TARGET = Duration.ofMillis(400);
    private static final String HOST = "a.example";
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final ModelKey MODEL = ModelKey.parse("model");
    private static final long CONTENT_HASH = 1;
    private static final PromptPrefix NO_PREFIX = new PromptPrefix("", 0, List.of());

    /** Returns the address at which a server is listed. */
    static String address(String id) {
        return id.equals(ExploredWorld.OTHER) ? OTHER_ADDRESS : SHARED_ADDRESS;
    }

    ForwardingEvent table(boolean withRoute) {
        ForwardingRoute route =
                new ForwardingRoute(
                        new RouteName("route"),
                        HOST,
                        "/a/",
                        kind.kind(),
                        TIMEOUT,
                        TARGET,
                        1,
                        List.of(new WeightedService(SERVICE, 1)),
                        kind.maximumRuns(),
                        kind.isResumable(),
                        TARGET);
        Optional<ModelCatalog> catalog =
                kind.needsModel()
                        ? Optional.of(new ModelCatalog(Map.of(), 200, 8, 4))
                        : Optional.empty();
        return new ForwardingEvent.TableInstalled(
                new ForwardingTable(
                        new ConfigurationVersion(1),
                        withRoute ? List.of(route) : List.of(),
                        List.of(new ForwardingService(SERVICE, catalog, 100))));
    }

    ForwardingEvent listing(String id, ListedState state, long startedMillis) {
        return new ForwardingEvent.ServerListed(
                new ServerListing(
                        new ServerId(id),
                        SERVICE,
                        address(id),
                        new FailureDomain("home"),
                        8,
                        state,
                        startedMillis,
                        kind.needsModel() ? Map.of(MODEL.model(), Set.of()) : Map.of(),
                        Set.of(),
                        Set.of()));
    }

    /** Returns by what the requests are recognised if they crash servers. */
    static Set<RequestTrait> traits() {
        return Set.of(new RequestTrait(RequestTrait.Kind.CONTENT, Long.toHexString(CONTENT_HASH)));
    }

    ForwardingEvent arrival(ExploredRequest request) {
        return new ForwardingEvent.RequestArrived(
                new ForwardRequest(
                        request.key,
                        request.id,
                        HOST,
                        "/a/1",
                        Optional.of(TIMEOUT),
                        kind.needsModel() ? Optional.of(MODEL) : Optional.empty(),
                        NO_PREFIX,
                        10,
                        10,
                        -1,
                        CONTENT_HASH));
    }
}
