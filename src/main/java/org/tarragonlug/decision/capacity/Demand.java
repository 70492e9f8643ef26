package org.tarragonlug.decision.capacity;

import java.time.Instant;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.id.ArtifactId;

/**
 * Requests waiting for an artifact at one entry instance.
 *
 * @param artifact the model or adapter
 * @param waiting requests waiting
 * @param running requests running
 * @param arrivals requests that arrived since the previous report
 * @param earliestDeadline the nearest deadline of a waiting request
 * @param priority highest priority of a waiting request
 */
public record Demand(
        ArtifactId artifact,
        int waiting,
        int running,
        int arrivals,
        Instant earliestDeadline,
        Priority priority) {}
