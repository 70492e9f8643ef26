package org.tarragonlug.instance;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.ArtifactId;

/** Measures how long requests wait that arrive before their artifact has a ready replica. */
final class ColdStartTimes {
    private static final double NANOS_PER_SECOND = 1e9;

    private final InstanceContext context;
    private final Map<ArtifactId, Instant> readySince = new HashMap<>();

    ColdStartTimes(InstanceContext context) {
        this.context = context;
    }

    /** Records whether an artifact has ready replicas. */
    void onReplicasChanged(ArtifactId artifact, boolean ready) {
        if (ready) {
            readySince.putIfAbsent(artifact, context.now());
        } else {
            readySince.remove(artifact);
        }
    }

    /** Records the waiting time of a request that is sent for the first time. */
    void onFirstAttempt(Exchange exchange, ArtifactId artifact) {
        Instant ready = readySince.get(artifact);
        if (ready != null && ready.isAfter(exchange.arrivedAt())) {
            Duration waited = Duration.between(exchange.arrivedAt(), context.now());
            context.metrics().coldStartSeconds().observe(waited.toNanos() / NANOS_PER_SECOND);
        }
    }
}
