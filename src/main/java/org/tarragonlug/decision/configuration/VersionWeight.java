package org.tarragonlug.decision.configuration;

import org.tarragonlug.id.ArtifactId;

/**
 * Weight of one version in the distribution of a route's requests over the versions of a model or
 * adapter.
 *
 * @param artifact the model or adapter with its version
 * @param weight relative weight; zero or more
 */
public record VersionWeight(ArtifactId artifact, int weight) {}
