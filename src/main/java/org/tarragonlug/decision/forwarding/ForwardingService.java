package org.tarragonlug.decision.forwarding;

import java.util.Optional;
import org.tarragonlug.id.ServiceName;

/**
 * A service that routes lead to.
 *
 * @param name its name
 * @param catalog the models of its engines; empty for a plain service
 * @param connectionLimit connections that one server accepts from all callers
 */
public record ForwardingService(
        ServiceName name, Optional<ModelCatalog> catalog, int connectionLimit) {}
