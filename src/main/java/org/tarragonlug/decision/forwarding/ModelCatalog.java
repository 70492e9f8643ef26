package org.tarragonlug.decision.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The models that the engines of a service may hold, and the capacity of one engine.
 *
 * @param models specifications by model name, in the order of the configuration
 * @param capacityMegabytes memory for weights and adapters on one server
 * @param adapterSlots maximum number of adapters on one server, including those being loaded
 * @param loadsPerSecond loads per second that the weight store allows, summed over all servers
 */
public record ModelCatalog(
        Map<String, ModelSpecification> models,
        double capacityMegabytes,
        int adapterSlots,
        double loadsPerSecond) {
    public ModelCatalog {
        models = java.util.Collections.unmodifiableMap(new LinkedHashMap<>(models));
    }

    /** Returns the specification of a model; empty if the catalog does not list it. */
    public Optional<ModelSpecification> model(String name) {
        return Optional.ofNullable(models.get(name));
    }
}
