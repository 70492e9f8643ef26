package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/** Keeps the view of servers and replicas, and turns the loss of a server into suspects. */
final class ServerHandler {
    private static final Duration UNAVAILABLE_RETRY_AFTER = Duration.ofSeconds(5);

    private final CoordinatorContext context;
    private final TargetRegistry targets;
    private final RequestCompletion completion;
    private final RetryPolicy retryPolicy;
    private final ServerChecks serverChecks;
    private final Map<ServerGroup, Set<BackendServer>> listedServers = new HashMap<>();

    ServerHandler(
            CoordinatorContext context,
            TargetRegistry targets,
            RequestCompletion endings,
            RetryPolicy retries,
            ServerChecks checks) {
        this.context = context;
        this.targets = targets;
        this.completion = endings;
        this.retryPolicy = retries;
        this.serverChecks = checks;
    }

    void onServersChanged(RequestEvent.ServersChanged event) {
        Set<BackendServer> current = new LinkedHashSet<>();
        for (ServerDescription description : event.servers()) {
            BackendServer server = context.server(description.server());
            server.group = Optional.of(event.group());
            server.failureDomain = Optional.of(description.failureDomain());
            server.listedAsLeaving = description.leaving();
            current.add(server);
            context.serversWithRoom.add(server);
        }
        Replicas service = targets.service(event.group()).replicas;
        service.ready.clear();
        service.ready.addAll(current);
        Optional<ServerGroup> group = Optional.of(event.group());
        for (BackendServer server : List.copyOf(context.servers.values())) {
            if (server.group.equals(group) && !current.contains(server)) {
                // What it still runs may end; it gets nothing new even if replicas name it.
                server.listedAsLeaving = true;
                removeIfIdle(server);
            }
        }
        listedServers.put(event.group(), current);
        context.targetsToDispatch.addAll(service.targets);
    }

    void onReplicasChanged(RequestEvent.ReplicasChanged event, Instant now) {
        Replicas replicas = targets.replicas(event.group(), event.artifact());
        replicas.ready.clear();
        Set<BackendServer> listed = listedServers.get(event.group());
        for (ServerId id : event.ready().stream().sorted().toList()) {
            BackendServer server = context.server(id);
            if (listed != null && !listed.contains(server)) {
                // It left the list and was forgotten, or the list does not show it yet.
                server.listedAsLeaving = true;
            }
            replicas.ready.add(server);
        }
        replicas.coldStart = event.coldStart();
        replicas.expectedReadyAt = event.expectedReadyAt();
        context.targetsToDispatch.addAll(replicas.targets);
        if (!replicas.hasUsableServer()) {
            refuseUnservable(replicas, now);
        }
    }

    void onServerReport(RequestEvent.ServerReported event, Instant now) {
        BackendServer server = context.server(event.server());
        if (event.fetchedAt().isBefore(server.reportFetchedAt)) {
            return;
        }
        serverChecks.onCheckAnswered(server);
        boolean restarted =
                server.incarnation.isPresent()
                        && !server.incarnation.get().equals(event.incarnation());
        if (restarted) {
            handleProcessLoss(server, now);
            server.clearPrefixes();
        }
        server.incarnation = Optional.of(event.incarnation());
        // A refusal "leaving" holds for the life of the process; its reports may lag behind it.
        server.statedAsLeaving = event.leaving() || server.statedAsLeaving && !restarted;
        server.reachable = true;
        server.applyReport(event.running(), event.queued(), event.fetchedAt());
        event.loaded().ifPresent(loaded -> updateLoaded(server, loaded));
        retryPolicy.onServerReport(server, event.fetchedAt(), now);
        context.serversWithRoom.add(server);
    }

    void onServerUnreachable(ServerId id, Instant now) {
        retryPolicy.onServerUnreachable(context.server(id), now);
    }

    void onServerLost(RequestEvent.ServerLost event, Instant now) {
        BackendServer server = context.server(event.server());
        boolean older =
                event.incarnation().isPresent()
                        && server.incarnation.isPresent()
                        && !event.incarnation().equals(server.incarnation);
        if (older) {
            return;
        }
        serverChecks.onCheckAnswered(server);
        server.reachable = false;
        handleProcessLoss(server, now);
    }

    void onPrefixCacheChanged(RequestEvent.PrefixCacheChanged event) {
        BackendServer server = context.server(event.server());
        if (event.cached()) {
            server.addPrefix(event.prefixHash());
        } else {
            server.removePrefix(event.prefixHash());
        }
    }

    void onSuspectsAnnounced(RequestEvent.SuspectsAnnounced event, Instant now) {
        Set<Fingerprint> quarantined = new LinkedHashSet<>();
        for (Fingerprint fingerprint : event.fingerprints()) {
            if (context.quarantine.recordAnnouncedLoss(fingerprint, event.server(), now)) {
                quarantined.add(fingerprint);
            }
        }
        quarantine(quarantined, now);
        markRunningSuspects(new HashSet<>(event.fingerprints()), now);
    }

    void onFingerprintQuarantined(Fingerprint fingerprint, Instant now) {
        context.quarantine.add(fingerprint);
        refuseQuarantined(Set.of(fingerprint), now);
    }

    private void handleProcessLoss(BackendServer server, Instant now) {
        Map<Fingerprint, Instant> sentAt = new LinkedHashMap<>();
        for (BackendServer.BrokenAttempt broken : server.takeBrokenAttempts(now)) {
            sentAt.merge(broken.fingerprint(), broken.sentAt(), ServerHandler::later);
        }
        List<PendingRequest> affected = retryPolicy.takeRequestsAwaitingCheck(server);
        for (Attempt attempt : List.copyOf(server.attempts)) {
            sentAt.merge(attempt.request.fingerprint, attempt.sentAt, ServerHandler::later);
            affected.add(attempt.request);
            context.abandon(attempt);
        }
        if (sentAt.isEmpty()) {
            return;
        }
        Set<Fingerprint> quarantined = new LinkedHashSet<>();
        sentAt.forEach(
                (fingerprint, sent) -> {
                    if (context.quarantine.recordLoss(fingerprint, server.id, sent, now)) {
                        quarantined.add(fingerprint);
                    }
                });
        context.add(
                new RequestCommand.AnnounceSuspects(server.id, new ArrayList<>(sentAt.keySet())));
        for (PendingRequest request : affected) {
            retryOrRefuseAfterLoss(request, server, now);
        }
        quarantine(quarantined, now);
        markRunningSuspects(sentAt.keySet(), now);
    }

    private void retryOrRefuseAfterLoss(PendingRequest request, BackendServer server, Instant now) {
        request.state = PendingRequest.State.WAITING;
        if (context.quarantine.isQuarantined(request.fingerprint)) {
            completion.refuse(
                    request, RefusalReason.REQUEST_QUARANTINED, "lost server=" + server.id, now);
        } else if (request.route.idempotent()) {
            // The isolated retry needs no budget: one suspect at a time bounds it.
            request.preferredServer = null;
            request.avoidedServer = server;
            context.enqueue(request, now);
        } else {
            completion.refuse(request, RefusalReason.OUTCOME_UNKNOWN, "lost server=" + server.id, now);
        }
    }

    private void quarantine(Set<Fingerprint> quarantined, Instant now) {
        if (quarantined.isEmpty()) {
            return;
        }
        for (Fingerprint fingerprint : quarantined) {
            context.add(new RequestCommand.QuarantineFingerprint(fingerprint));
        }
        refuseQuarantined(quarantined, now);
    }

    private void refuseQuarantined(Set<Fingerprint> quarantined, Instant now) {
        completion.refuseAll(
                request -> quarantined.contains(request.fingerprint),
                RefusalReason.REQUEST_QUARANTINED,
                "fingerprint is quarantined",
                now);
    }

    /** Copies that already run elsewhere keep other suspects off their servers from now on. */
    private void markRunningSuspects(Set<Fingerprint> fingerprints, Instant now) {
        for (Attempt attempt : context.attempts.values()) {
            Fingerprint fingerprint = attempt.request.fingerprint;
            boolean uncounted =
                    !attempt.countedAsSuspect
                            && fingerprints.contains(fingerprint)
                            && context.quarantine.isSuspect(fingerprint, now);
            if (uncounted) {
                attempt.countedAsSuspect = true;
                attempt.server.runningSuspects++;
                context.quarantine.onAttemptStarted(fingerprint);
            }
        }
    }

    private void refuseUnservable(Replicas replicas, Instant now) {
        boolean unavailable = replicas.coldStart == ColdStart.UNAVAILABLE;
        if (!unavailable && replicas.expectedReadyAt.isEmpty()) {
            return;
        }
        Instant expected = replicas.expectedReadyAt.orElse(now.plus(UNAVAILABLE_RETRY_AFTER));
        for (Target target : replicas.targets) {
            List<PendingRequest> waiting = new ArrayList<>();
            target.queue.forEach(waiting::add);
            for (PendingRequest request : waiting) {
                if (unavailable || request.deadline.isBefore(expected)) {
                    completion.refuse(
                            request,
                            unavailable
                                    ? RefusalReason.NO_CAPACITY
                                    : RefusalReason.DEADLINE_TOO_NEAR,
                            Optional.of(Duration.between(now, expected)),
                            "no server can be ready in time",
                            now);
                }
            }
        }
    }

    private void updateLoaded(BackendServer server, Set<ArtifactId> loaded) {
        Set<ArtifactId> before = server.loaded.orElse(Set.of());
        server.loaded = Optional.of(loaded);
        if (before.equals(loaded) || server.group.isEmpty()) {
            return;
        }
        Set<ArtifactId> changed = new HashSet<>(before);
        changed.addAll(loaded);
        for (ArtifactId artifact : changed) {
            Replicas replicas = targets.replicas(server.group.get(), artifact);
            boolean differs =
                    loaded.contains(artifact)
                            ? replicas.add(server)
                            : replicas.ready.remove(server);
            if (differs) {
                context.targetsToDispatch.addAll(replicas.targets);
            }
        }
    }

    private void removeIfIdle(BackendServer server) {
        if (server.inFlight() == 0 && server.awaitingCheck.isEmpty()) {
            context.servers.remove(server.id);
        }
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }
}
