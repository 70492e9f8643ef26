package org.tarragonlug.decision.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The models that the engines of a service may hold, and what one engine can hold.
 *
 * @param models by name, in the order of the configuration
 * @param capacityMegabytes room for weights and adapters on one server
 * @param adapterSlots most adapters on one server, with those under way
 * @param loadsPerSecond loads that the weight store allows over all servers
 */
public record ModelCatalog(
        Map<String, ModelSpecification> models,
        double capacityMegabytes,
        int adapterSlots,
        double loadsPerSecond) {
    public ModelCatalog {
        models = java.util.Collections.unmodifiableMap(new LinkedHashMap<>(models));
    }

    /** Returns a model's specification. */
    public Optional<ModelSpecification> model(String name) {
        return Optional.ofNullable(models.get(name));
    }
}
