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
    private static final Duration UNAVAILABLE_RETRY = Duration.ofSeconds(5);

    private final CoordinatorContext context;
    private final TargetRegistry targets;
    private final RequestEndings endings;
    private final RetryPolicy retries;
    private final ServerChecks checks;
    private final Map<ServerGroup, Set<BackendServer>> listed = new HashMap<>();

    ServerHandler(
            CoordinatorContext context,
            TargetRegistry targets,
            RequestEndings endings,
            RetryPolicy retries,
            ServerChecks checks) {
        this.context = context;
        this.targets = targets;
        this.endings = endings;
        this.retries = retries;
        this.checks = checks;
    }

    void serversChanged(RequestEvent.ServersChanged event) {
        Set<BackendServer> current = new LinkedHashSet<>();
        for (ServerDescription description : event.servers()) {
            BackendServer server = context.server(description.server());
            server.group = Optional.of(event.group());
            server.failureDomain = Optional.of(description.failureDomain());
            server.leavingByList = description.leaving();
            current.add(server);
            context.freedServers.add(server);
        }
        Replicas service = targets.service(event.group()).replicas;
        service.ready.clear();
        service.ready.addAll(current);
        Optional<ServerGroup> group = Optional.of(event.group());
        for (BackendServer server : List.copyOf(context.servers.values())) {
            if (server.group.equals(group) && !current.contains(server)) {
                // What it still runs may end; it gets nothing new even if replicas name it.
                server.leavingByList = true;
                forgetIfIdle(server);
            }
        }
        listed.put(event.group(), current);
        context.changedTargets.addAll(service.targets);
    }

    void replicasChanged(RequestEvent.ReplicasChanged event, Instant now) {
        Replicas replicas = targets.replicas(event.group(), event.artifact());
        replicas.ready.clear();
        Set<BackendServer> known = listed.get(event.group());
        for (ServerId id : event.ready().stream().sorted().toList()) {
            BackendServer server = context.server(id);
            if (known != null && !known.contains(server)) {
                // It left the list and was forgotten, or the list does not show it yet.
                server.leavingByList = true;
            }
            replicas.ready.add(server);
        }
        replicas.coldStart = event.coldStart();
        replicas.expected = event.expected();
        context.changedTargets.addAll(replicas.targets);
        if (!replicas.hasUsableServer()) {
            refuseHopeless(replicas, now);
        }
    }

    void reported(RequestEvent.ServerReported event, Instant now) {
        BackendServer server = context.server(event.server());
        if (event.fetchedAt().isBefore(server.reportFetchedAt)) {
            return;
        }
        checks.answered(server);
        boolean restarted =
                server.incarnation.isPresent()
                        && !server.incarnation.get().equals(event.incarnation());
        if (restarted) {
            processLost(server, now);
            server.forgetPrefixes();
        }
        server.incarnation = Optional.of(event.incarnation());
        // A refusal "leaving" holds for the life of the process; its reports may lag behind it.
        server.leavingByServer = event.leaving() || server.leavingByServer && !restarted;
        server.reachable = true;
        server.reported(event.running(), event.queued(), event.fetchedAt());
        event.loaded().ifPresent(loaded -> updateLoaded(server, loaded));
        retries.serverAnswered(server, event.fetchedAt(), now);
        context.freedServers.add(server);
    }

    void unreachable(ServerId id, Instant now) {
        retries.serverUnreachable(context.server(id), now);
    }

    void lost(RequestEvent.ServerLost event, Instant now) {
        BackendServer server = context.server(event.server());
        boolean older =
                event.incarnation().isPresent()
                        && server.incarnation.isPresent()
                        && !event.incarnation().equals(server.incarnation);
        if (older) {
            return;
        }
        checks.answered(server);
        server.reachable = false;
        processLost(server, now);
    }

    void cacheEvent(RequestEvent.CacheEvent event) {
        BackendServer server = context.server(event.server());
        if (event.stored()) {
            server.prefixCached(event.prefix());
        } else {
            server.prefixEvicted(event.prefix());
        }
    }

    void suspectsAnnounced(RequestEvent.SuspectsAnnounced event, Instant now) {
        Set<Fingerprint> condemned = new LinkedHashSet<>();
        for (Fingerprint fingerprint : event.fingerprints()) {
            if (context.quarantine.announced(fingerprint, event.server(), now)) {
                condemned.add(fingerprint);
            }
        }
        condemn(condemned, now);
        countRunning(new HashSet<>(event.fingerprints()), now);
    }

    void condemned(Fingerprint fingerprint, Instant now) {
        context.quarantine.condemn(fingerprint);
        refuseCondemned(Set.of(fingerprint), now);
    }

    private void processLost(BackendServer server, Instant now) {
        Map<Fingerprint, Instant> sentAt = new LinkedHashMap<>();
        for (BackendServer.BrokenAttempt broken : server.takeBroken(now)) {
            sentAt.merge(broken.fingerprint(), broken.sentAt(), ServerHandler::later);
        }
        List<PendingRequest> affected = retries.takeVerifying(server);
        for (Attempt attempt : List.copyOf(server.attempts)) {
            sentAt.merge(attempt.request.fingerprint, attempt.sentAt, ServerHandler::later);
            affected.add(attempt.request);
            context.abandon(attempt);
        }
        if (sentAt.isEmpty()) {
            return;
        }
        Set<Fingerprint> condemned = new LinkedHashSet<>();
        sentAt.forEach(
                (fingerprint, sent) -> {
                    if (context.quarantine.lost(fingerprint, server.id, sent, now)) {
                        condemned.add(fingerprint);
                    }
                });
        context.add(
                new RequestCommand.AnnounceSuspects(server.id, new ArrayList<>(sentAt.keySet())));
        for (PendingRequest request : affected) {
            afterLoss(request, server, now);
        }
        condemn(condemned, now);
        countRunning(sentAt.keySet(), now);
    }

    private void afterLoss(PendingRequest request, BackendServer server, Instant now) {
        request.state = PendingRequest.State.WAITING;
        if (context.quarantine.isCondemned(request.fingerprint)) {
            endings.refuse(
                    request, RefusalReason.REQUEST_QUARANTINED, "lost server=" + server.id, now);
        } else if (request.route.idempotent()) {
            // The isolated retry needs no budget: one suspect at a time bounds it.
            request.preferred = null;
            request.avoided = server;
            context.enqueue(request, now);
        } else {
            endings.refuse(request, RefusalReason.OUTCOME_UNKNOWN, "lost server=" + server.id, now);
        }
    }

    private void condemn(Set<Fingerprint> condemned, Instant now) {
        if (condemned.isEmpty()) {
            return;
        }
        for (Fingerprint fingerprint : condemned) {
            context.add(new RequestCommand.CondemnFingerprint(fingerprint));
        }
        refuseCondemned(condemned, now);
    }

    private void refuseCondemned(Set<Fingerprint> condemned, Instant now) {
        endings.refuseAll(
                request -> condemned.contains(request.fingerprint),
                RefusalReason.REQUEST_QUARANTINED,
                "fingerprint is quarantined",
                now);
    }

    /** Copies that already run elsewhere keep other suspects off their servers from now on. */
    private void countRunning(Set<Fingerprint> fingerprints, Instant now) {
        for (Attempt attempt : context.attempts.values()) {
            Fingerprint fingerprint = attempt.request.fingerprint;
            boolean uncounted =
                    !attempt.suspect
                            && fingerprints.contains(fingerprint)
                            && context.quarantine.isSuspect(fingerprint, now);
            if (uncounted) {
                attempt.suspect = true;
                attempt.server.suspectsRunning++;
                context.quarantine.started(fingerprint);
            }
        }
    }

    private void refuseHopeless(Replicas replicas, Instant now) {
        boolean unavailable = replicas.coldStart == ColdStart.UNAVAILABLE;
        if (!unavailable && replicas.expected.isEmpty()) {
            return;
        }
        Instant expected = replicas.expected.orElse(now.plus(UNAVAILABLE_RETRY));
        for (Target target : replicas.targets) {
            List<PendingRequest> waiting = new ArrayList<>();
            target.queue.forEach(waiting::add);
            for (PendingRequest request : waiting) {
                if (unavailable || request.deadline.isBefore(expected)) {
                    endings.refuse(
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
                context.changedTargets.addAll(replicas.targets);
            }
        }
    }

    private void forgetIfIdle(BackendServer server) {
        if (server.inFlight() == 0 && server.verifying.isEmpty()) {
            context.servers.remove(server.id);
        }
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }
}
