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
    private static final Duration INTEREST_LIFETIME = Duration.ofMinutes(10);

    /**
     * Waiting requests are reported every second; older reports are of requests that have ended.
     */
    private static final Duration WAITING_LIFETIME = Duration.ofSeconds(3);

    /** When to ask again for an artifact that cannot be made ready. */
    private static final Duration UNAVAILABLE_RETRY_DELAY = Duration.ofSeconds(2);

    private final InstanceContext context;
    private final PeerMessageDispatcher peers;
    private final ServerGroup group;
    private final Map<ArtifactId, ArtifactState> artifactStates = new LinkedHashMap<>();
    private final Map<ArtifactId, Map<InstanceId, Interest>> interestByArtifact = new HashMap<>();

    ReplicaAnnouncer(InstanceContext context, PeerMessageDispatcher peers, ServerGroup group) {
        this.context = context;
        this.peers = peers;
        this.group = group;
    }

    void onDemand(InstanceId instance, Demand demand) {
        ArtifactId artifact = demand.artifact();
        interestByArtifact.computeIfAbsent(artifact, unused -> new HashMap<>())
                .put(instance, new Interest(context.now(), demand.waiting()));
        ArtifactState present = artifactStates.get(artifact);
        if (present != null) {
            peers.send(instance, message(artifact, present));
        }
    }

    void publishReplicas(CapacityCommand.PublishReplicas publish) {
        ArtifactState state = artifactStates.computeIfAbsent(publish.artifact(), unused -> new ArtifactState());
        state.ready = publish.ready();
        state.loading = publish.loading();
        state.expectedReadyAt = publish.expectedReadyAt();
        announce(publish.artifact(), state);
    }

    void updateArtifact(CapacityCommand.ReportArtifact report) {
        ArtifactState state = artifactStates.computeIfAbsent(report.artifact(), unused -> new ArtifactState());
        boolean changed = state.isUnavailable() != isUnavailable(report);
        state.refusal = report.lastRefusal();
        state.loadingReplicas = report.loading();
        if (changed) {
            announce(report.artifact(), state);
        }
    }

    private static boolean isUnavailable(CapacityCommand.ReportArtifact report) {
        return report.lastRefusal().isPresent() && report.ready() == 0 && report.loading() == 0;
    }

    private void announce(ArtifactId artifact, ArtifactState state) {
        Map<InstanceId, Interest> instances = interestByArtifact.get(artifact);
        if (instances == null) {
            return;
        }
        Instant since = context.now().minus(INTEREST_LIFETIME);
        instances.values().removeIf(last -> last.reportedAt().isBefore(since));
        PeerMessage message = message(artifact, state);
        List.copyOf(instances.keySet()).forEach(instance -> peers.send(instance, message));
    }

    private PeerMessage message(ArtifactId artifact, ArtifactState state) {
        Duration wait =
                state.expectedReadyAt
                        .map(at -> Duration.between(context.now(), at))
                        .filter(duration -> !duration.isNegative())
                        .orElse(state.isUnavailable() ? UNAVAILABLE_RETRY_DELAY : Duration.ZERO);
        return new PeerMessage.ReplicasChanged(
                PeerMessage.FORMAT_VERSION,
                group,
                List.of(
                        new PeerMessage.ArtifactReplicas(
                                artifact, state.ready, state.loading, state.isUnavailable(), wait)));
    }

    /** Returns the requests that wait for an artifact, as the instances last reported. */
    int waiting(ArtifactId artifact) {
        Instant since = context.now().minus(WAITING_LIFETIME);
        return interestByArtifact.getOrDefault(artifact, Map.of()).values().stream()
                .filter(last -> last.reportedAt().isAfter(since))
                .mapToInt(Interest::waiting)
                .sum();
    }

    private record Interest(Instant reportedAt, int waiting) {}

    /** Returns the artifacts that are or were wanted, for the status page. */
    Map<ArtifactId, ArtifactState> artifactStates() {
        return artifactStates;
    }

    /** What is known about an artifact. */
    static final class ArtifactState {
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

        boolean isUnavailable() {
            return refusal.isPresent() && ready.isEmpty() && !loading;
        }
    }
}
