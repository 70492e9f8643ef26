package org.tarragonlug.decision.configuration;

import org.tarragonlug.id.ArtifactId;

/**
 * The share of a route's requests for one model or adapter name that goes to one version.
 *
 * @param artifact the version
 * @param weight relative share, zero or more
 */
public record VersionWeight(ArtifactId artifact, int weight) {}
