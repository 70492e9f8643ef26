package org.tarragonlug.weightstore;

import org.tarragonlug.id.ArtifactId;

/**
 * A checkpoint in the weight store.
 *
 * @param artifact the model or adapter whose weights the checkpoint contains
 * @param bytes size of the checkpoint
 */
public record Checkpoint(ArtifactId artifact, long bytes) {}
