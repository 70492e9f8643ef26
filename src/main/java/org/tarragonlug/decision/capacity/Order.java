package org.tarragonlug.decision.capacity;

import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ServerId;

/**
 * An order to a model engine.
 *
 * @param operation id of the order; a repeated order carries the same id
 * @param kind load or unload
 * @param server the server the slot is bound to
 * @param artifact the artifact to load or unload
 * @param baseModel base model of an adapter; empty for a model
 * @param memoryBytes memory reserved for the artifact, bytes
 * @param fence fencing token
 */
public record Order(
        OperationId operation,
        OrderKind kind,
        ServerId server,
        ArtifactId artifact,
        Optional<ArtifactId> baseModel,
        long memoryBytes,
        FencingToken fence) {}
