package org.tarragonlug.decision.capacity;

import java.time.Instant;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.id.ArtifactId;

/**
 * The demand for an artifact at one entry instance.
 *
 * @param artifact the model or adapter
 * @param waiting number of waiting requests
 * @param running number of running requests
 * @param arrivals number of requests that arrived since the previous report
 * @param earliestDeadline the earliest deadline of a waiting request
 * @param priority highest priority of a waiting request
 */
public record Demand(
        ArtifactId artifact,
        int waiting,
        int running,
        int arrivals,
        Instant earliestDeadline,
        Priority priority) {}
