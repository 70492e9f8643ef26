package org.tarragonlug.standin;

import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/**
 * An artifact that occupies accelerator memory of a server, whether it is loaded or being loaded.
 *
 * @param server the server that holds the artifact
 * @param artifact the model or adapter
 * @param sinceNanos {@link System#nanoTime} at the start of the load
 */
public record HeldReplica(ServerId server, ArtifactId artifact, long sinceNanos) {}
