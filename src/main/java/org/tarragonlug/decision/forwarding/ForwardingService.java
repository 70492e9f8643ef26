package org.tarragonlug.decision.forwarding;

import java.util.Optional;
import org.tarragonlug.id.ServiceName;

/**
 * A service that routes can target.
 *
 * @param name name of the service
 * @param catalog models that its engines may hold; empty for a plain service
 * @param connectionLimit maximum number of connections that one server accepts from all callers
 */
public record ForwardingService(
        ServiceName name, Optional<ModelCatalog> catalog, int connectionLimit) {}
