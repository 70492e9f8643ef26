package org.tarragonlug.instance;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.capacity.CapacityCommand;
import org.tarragonlug.decision.capacity.CapacityRefusal;
import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.peer.PeerMessage;

/**
 * Tells the instances that reported demand for an artifact where its replicas are.
 *
 * <p>Only instances that reported demand within the last ten minutes are told, so that the messages
 * grow with the changes and the interested instances, not with the fleet. A new report is answered
 * at once, which also repairs a lost message.
 */
final class ReplicaAnnouncer {
    private static final Duration INTEREST = Duration.ofMinutes(10);

    /**
     * Waiting requests are reported every second; older reports are of requests that have ended.
     */
    private static final Duration WAITING_LIFETIME = Duration.ofSeconds(3);

    /** When to ask again for an artifact that cannot be made ready. */
    private static final Duration ASK_AGAIN = Duration.ofSeconds(2);

    private final InstanceContext context;
    private final PeerSwitch peers;
    private final ServerGroup group;
    private final Map<ArtifactId, Known> known = new LinkedHashMap<>();
    private final Map<ArtifactId, Map<InstanceId, Interest>> interest = new HashMap<>();

    ReplicaAnnouncer(InstanceContext context, PeerSwitch peers, ServerGroup group) {
        this.context = context;
        this.peers = peers;
        this.group = group;
    }

    void interested(InstanceId instance, Demand demand) {
        ArtifactId artifact = demand.artifact();
        interest.computeIfAbsent(artifact, unused -> new HashMap<>())
                .put(instance, new Interest(context.now(), demand.waiting()));
        Known present = known.get(artifact);
        if (present != null) {
            peers.send(instance, message(artifact, present));
        }
    }

    void replicas(CapacityCommand.PublishReplicas publish) {
        Known state = known.computeIfAbsent(publish.artifact(), unused -> new Known());
        state.ready = publish.ready();
        state.loading = publish.loading();
        state.expectedReadyAt = publish.expectedReadyAt();
        announce(publish.artifact(), state);
    }

    void artifact(CapacityCommand.ReportArtifact report) {
        Known state = known.computeIfAbsent(report.artifact(), unused -> new Known());
        boolean changed = state.unavailable() != isUnavailable(report);
        state.refusal = report.lastRefusal();
        state.loadingReplicas = report.loading();
        if (changed) {
            announce(report.artifact(), state);
        }
    }

    private static boolean isUnavailable(CapacityCommand.ReportArtifact report) {
        return report.lastRefusal().isPresent() && report.ready() == 0 && report.loading() == 0;
    }

    private void announce(ArtifactId artifact, Known state) {
        Map<InstanceId, Interest> instances = interest.get(artifact);
        if (instances == null) {
            return;
        }
        Instant since = context.now().minus(INTEREST);
        instances.values().removeIf(last -> last.at().isBefore(since));
        PeerMessage message = message(artifact, state);
        List.copyOf(instances.keySet()).forEach(instance -> peers.send(instance, message));
    }

    private PeerMessage message(ArtifactId artifact, Known state) {
        Duration wait =
                state.expectedReadyAt
                        .map(at -> Duration.between(context.now(), at))
                        .filter(duration -> !duration.isNegative())
                        .orElse(state.unavailable() ? ASK_AGAIN : Duration.ZERO);
        return new PeerMessage.ReplicasChanged(
                PeerMessage.FORMAT_VERSION,
                group,
                List.of(
                        new PeerMessage.ArtifactReplicas(
                                artifact, state.ready, state.loading, state.unavailable(), wait)));
    }

    /** Returns the requests that wait for an artifact, as the instances last reported. */
    int waiting(ArtifactId artifact) {
        Instant since = context.now().minus(WAITING_LIFETIME);
        return interest.getOrDefault(artifact, Map.of()).values().stream()
                .filter(last -> last.at().isAfter(since))
                .mapToInt(Interest::waiting)
                .sum();
    }

    private record Interest(Instant at, int waiting) {}

    /** Returns the artifacts that are or were wanted, for the status page. */
    Map<ArtifactId, Known> known() {
        return known;
    }

    /** What is known about an artifact. */
    static final class Known {
        private List<ServerId> ready = List.of();
        private boolean loading;
        private int loadingReplicas;
        private Optional<Instant> expectedReadyAt = Optional.empty();
        private Optional<CapacityRefusal> refusal = Optional.empty();

        List<ServerId> ready() {
            return ready;
        }

        int loadingReplicas() {
            return loadingReplicas;
        }

        Optional<CapacityRefusal> refusal() {
            return refusal;
        }

        boolean unavailable() {
            return refusal.isPresent() && ready.isEmpty() && !loading;
        }
    }
}
