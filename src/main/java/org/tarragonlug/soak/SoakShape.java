package org.tarragonlug.soak;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * What a soak plays: how many of everything, and how often it fails.
 *
 * @param gateways number of gateway processes
 * @param failureDomains number of failure domains, over which gateways and servers are spread
 * @param services servers of each service that has any
 * @param models number of models of the service whose requests are streams
 * @param adapters number of adapters of each model
 * @param accounts number of client accounts; 0 if callers need no key
 * @param callers the callers
 * @param faults the faults
 * @param pressure how short gateways are of memory and of time to stop
 */
public record SoakShape(
        int gateways,
        int failureDomains,
        Map<String, ServiceShape> services,
        int models,
        int adapters,
        int accounts,
        CallerShape callers,
        FaultShape faults,
        PressureShape pressure) {
    /** Most accounts that a configuration may have. */
    static final int MOST_ACCOUNTS = 16;

    /** Servers that hold a model, if there are as many. */
    private static final int REPLICAS = 3;

    /**
     * Creates a shape.
     *
     * @throws IllegalArgumentException if a number is out of its bounds, or callers send requests
     *     to a service without servers; the message names the field
     */
    public SoakShape {
        ShapeBounds.check("gateways", gateways, 1, 100);
        ShapeBounds.check("failureDomains", failureDomains, 1, 20);
        ShapeBounds.check("models", models, 1, 300);
        ShapeBounds.check("adapters", adapters, 0, 40);
        ShapeBounds.check("accounts", accounts, 0, MOST_ACCOUNTS);
        services = Map.copyOf(services);
        for (RequestKind kind : callers.requests().keySet()) {
            if (!services.containsKey(kind.service())) {
                throw new IllegalArgumentException(
                        "field services lacks " + kind.service() + ", to which " + kind + " goes");
            }
        }
    }

    /** Returns the same shape with another number of gateways. */
    public SoakShape withGateways(int count) {
        return new SoakShape(
                count,
                failureDomains,
                services,
                models,
                adapters,
                accounts,
                callers,
                faults,
                pressure);
    }

    /**
     * Returns what callers use that check the recovery: adapters that servers hold from the start.
     * Those that must be ordered may wait for room for longer than a recovery lasts.
     */
    SoakShape forRecovery() {
        return faults.restoresStore() ? withoutAdapters() : this;
    }

    private SoakShape withoutAdapters() {
        return new SoakShape(
                gateways, failureDomains, services, models, 0, accounts, callers, faults, pressure);
    }

    /** Returns the failure domain of the gateway or server with a number. */
    String failureDomain(int number) {
        return "domain-" + number % failureDomains;
    }

    /** Returns the key of a caller's account; empty if there are no accounts. */
    Optional<String> key(int caller) {
        return accounts == 0 ? Optional.empty() : Optional.of("key-" + (1 + caller % accounts));
    }

    /** Returns the key of the account that has no quota; empty if there are no accounts. */
    Optional<String> unlimitedKey() {
        return key(0);
    }

    /** Returns the name of a model, from 1. */
    static String model(int number) {
        return "m" + number;
    }

    /** Returns the names of the adapters that each model has. */
    List<String> adapterNames() {
        return IntStream.rangeClosed(1, adapters).mapToObj(number -> "a" + number).toList();
    }

    /** Returns the models that a server of the service with models holds. */
    List<String> modelsOf(int server) {
        int servers = services.get(RequestKind.ASK.service()).servers();
        return IntStream.rangeClosed(1, Math.max(models, servers))
                .filter(number -> Math.floorMod(server - number, servers) < REPLICAS)
                .map(number -> (number - 1) % models + 1)
                .distinct()
                .mapToObj(SoakShape::model)
                .toList();
    }
}
