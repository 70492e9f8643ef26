package org.tarragonlug.decision.capacity;

import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ServerId;

/**
 * An order to a model engine.
 *
 * @param operation identifies the order; a repeated order keeps it
 * @param kind load or unload
 * @param server the server the slot is bound to
 * @param artifact what to load or unload
 * @param baseModel the model an adapter applies to
 * @param memoryBytes memory reserved for it, bytes
 * @param fence fencing number
 */
public record Order(
        OperationId operation,
        OrderKind kind,
        ServerId server,
        ArtifactId artifact,
        Optional<ArtifactId> baseModel,
        long memoryBytes,
        FencingToken fence) {}
