package org.tarragonlug.decision.request;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.decision.Invariant;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerId;

/** State shared by the parts of one coordinator. */
final class CoordinatorContext {
    /** Attempts abandoned lately; a token of one means that its cancellation was lost. */
    private static final int MAX_ABANDONED_ATTEMPTS = 4_096;

    final RequestSettings settings;
    final TimerHeap timers = new TimerHeap();
    final Map<RequestId, PendingRequest> requests = new LinkedHashMap<>();
    final Map<AttemptId, Attempt> attempts = new HashMap<>();
    final Map<ServerId, BackendServer> servers = new HashMap<>();
    final RetryBudget retryBudget;
    final Quarantine quarantine;
    final ClaimTracker claims = new ClaimTracker();

    /** Targets to dispatch before the present event is done. */
    final Set<Target> targetsToDispatch = new LinkedHashSet<>();

    /** Servers that got room during the present event. */
    final Set<BackendServer> serversWithRoom = new LinkedHashSet<>();

    private final ProcessId process;
    private final InvariantListener invariants;
    private final Map<AttemptId, ServerId> abandonedAttempts = new LinkedHashMap<>();
    private List<RequestCommand> commands = new ArrayList<>();
    private long attemptCount;
    private long operationCount;

    CoordinatorContext(ProcessId process, RequestSettings settings, InvariantListener invariants) {
        this.process = process;
        this.settings = settings;
        this.invariants = invariants;
        retryBudget = new RetryBudget(settings.retryShare(), settings.retryReserve());
        quarantine = new Quarantine(settings.suspectRetention());
    }

    void add(RequestCommand command) {
        commands.add(command);
    }

    List<RequestCommand> takeCommands() {
        if (commands.isEmpty()) {
            return List.of();
        }
        List<RequestCommand> taken = commands;
        commands = new ArrayList<>();
        return taken;
    }

    AttemptId nextAttempt() {
        attemptCount++;
        return new AttemptId(process.value() + "-a" + attemptCount);
    }

    OperationId nextOperation() {
        operationCount++;
        return new OperationId(process.value() + "-c" + operationCount);
    }

    BackendServer server(ServerId id) {
        return servers.computeIfAbsent(
                id,
                added ->
                        new BackendServer(
                                added,
                                new InFlightLimit(
                                        settings.initialInFlight(), settings.maximumInFlight())));
    }

    void checkInvariant(boolean holds, Invariant invariant, RequestId request, String detail) {
        if (!holds) {
            invariants.invariantViolated(invariant, "request=" + request + " " + detail);
        }
    }

    /** Takes the attempt off its server. Late events of it find nothing. */
    void release(Attempt attempt) {
        attempts.remove(attempt.id);
        timers.cancel(attempt.progressTimer);
        attempt.server.attempts.remove(attempt);
        attempt.request.attempt = null;
        attempt.request.target.running--;
        unreserve(attempt.request, attempt.server, attempt.sentAt, attempt.countedAsSuspect);
    }

    /** Releases an attempt and stops it at its server. */
    void abandon(Attempt attempt) {
        release(attempt);
        abandonedAttempts.put(attempt.id, attempt.server.id);
        if (abandonedAttempts.size() > MAX_ABANDONED_ATTEMPTS) {
            abandonedAttempts.remove(abandonedAttempts.keySet().iterator().next());
        }
        add(new RequestCommand.CancelAttempt(attempt.id, attempt.server.id));
    }

    /** Cancels an abandoned attempt once more if its server still works on it. */
    void cancelAgainIfAbandoned(AttemptId attempt) {
        ServerId server = abandonedAttempts.remove(attempt);
        if (server != null) {
            add(new RequestCommand.CancelAttempt(attempt, server));
        }
    }

    void reserve(PendingRequest request, BackendServer server) {
        server.reserve();
        request.server = server;
        if (request.isolated) {
            server.runningSuspects++;
            quarantine.onAttemptStarted(request.fingerprint);
        }
    }

    void unreserve(
            PendingRequest request, BackendServer server, Instant reservedAt, boolean suspect) {
        server.release(reservedAt);
        serversWithRoom.add(server);
        if (suspect) {
            server.runningSuspects--;
            quarantine.onAttemptStopped(request.fingerprint);
            // Other copies of the suspect may wait for it, and they are blocked at no server.
            targetsToDispatch.add(request.target);
        }
    }

    /** Puts a request into its queue, at its place by arrival. */
    void enqueue(PendingRequest request, Instant now) {
        request.state = PendingRequest.State.WAITING;
        request.server = null;
        request.isolated = quarantine.isSuspect(request.fingerprint, now);
        if (request.isolated) {
            request.target.suspects.add(request);
        } else {
            request.target.queue.add(request);
        }
        targetsToDispatch.add(request.target);
    }

    void dequeue(PendingRequest request) {
        if (request.list == request.target.suspects) {
            request.target.suspects.remove(request);
        } else if (request.list != null) {
            request.target.queue.remove(request);
        }
    }
}
