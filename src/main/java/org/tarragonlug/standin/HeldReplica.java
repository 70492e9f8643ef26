package org.tarragonlug.standin;

import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/**
 * An artifact that occupies memory of a server.
 *
 * @param server where
 * @param artifact what
 * @param sinceNanos when its load began, by {@link System#nanoTime}
 */
public record HeldReplica(ServerId server, ArtifactId artifact, long sinceNanos) {}
