package org.tarragonlug.weightstore;

import org.tarragonlug.id.ArtifactId;

/**
 * A checkpoint in the weight store.
 *
 * @param artifact what it holds
 * @param bytes its size
 */
public record Checkpoint(ArtifactId artifact, long bytes) {}
