package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.decision.request.RefusalReason;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerId;

/**
 * Baseline coordinator of the measurements. It has an unbounded first-in-first-out queue without
 * deadlines, selects servers round robin with a fixed limit of requests in flight at each, and
 * retries at the next server after a failure, up to a fixed number of attempts.
 */
final class NaiveCoordinator implements StateMachine<RequestEvent, RequestCommand> {
    private static final Duration NO_DEADLINE = Duration.ofHours(1);

    private final int inFlightLimit;
    private final int attemptsPerRequest;
    private final Deque<RequestId> queue = new ArrayDeque<>();
    private final Map<RequestId, Integer> forwardedTokens = new HashMap<>();
    private final Map<RequestId, Integer> attemptCounts = new HashMap<>();
    private final Map<RequestId, ArtifactId> artifacts = new HashMap<>();
    private final Map<AttemptId, RequestId> attemptRequests = new HashMap<>();
    private final Map<AttemptId, ServerId> attemptServers = new HashMap<>();
    private final Map<ServerId, Integer> inFlight = new HashMap<>();
    private final List<ServerId> servers = new ArrayList<>();
    private List<RequestCommand> commands = new ArrayList<>();
    private int nextServer;
    private int attemptCount;

    NaiveCoordinator(int inFlightLimit, int attemptsPerRequest) {
        this.inFlightLimit = inFlightLimit;
        this.attemptsPerRequest = attemptsPerRequest;
    }

    @Override
    public List<RequestCommand> handle(RequestEvent event, Instant now) {
        commands = new ArrayList<>();
        if (event instanceof RequestEvent.RequestArrived arrived) {
            String artifact = arrived.description().artifact().orElseThrow();
            artifacts.put(arrived.request(), ArtifactId.parse(artifact));
            queue.add(arrived.request());
        } else if (event instanceof RequestEvent.ReplicasChanged changed) {
            servers.clear();
            servers.addAll(changed.ready().stream().sorted().toList());
        } else if (event instanceof RequestEvent.AttemptToken token) {
            onToken(token);
        } else if (event instanceof RequestEvent.AttemptCompleted completed) {
            RequestId request = release(completed.attempt());
            if (request != null) {
                commands.add(
                        new RequestCommand.CompleteAnswer(
                                request, completed.tokens(), completed.checksum()));
            }
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            onAttemptFailed(release(failed.attempt()));
        }
        dispatch();
        return commands;
    }

    private void onToken(RequestEvent.AttemptToken token) {
        RequestId request = attemptRequests.get(token.attempt());
        if (request != null && forwardedTokens.getOrDefault(request, 0) == token.offset()) {
            forwardedTokens.merge(request, 1, Integer::sum);
            commands.add(new RequestCommand.ForwardToken(request, token.offset(), token.text()));
        }
    }

    private void onAttemptFailed(RequestId request) {
        if (request == null) {
            return;
        }
        if (attemptCounts.get(request) < attemptsPerRequest) {
            queue.addFirst(request);
        } else {
            commands.add(
                    new RequestCommand.Refuse(
                            request,
                            RefusalReason.BACKEND_FAILED,
                            Execution.MAY_HAVE_RUN,
                            Optional.empty(),
                            "all " + attemptsPerRequest + " attempts failed"));
        }
    }

    private RequestId release(AttemptId attempt) {
        ServerId server = attemptServers.remove(attempt);
        if (server != null) {
            inFlight.merge(server, -1, Integer::sum);
        }
        return attemptRequests.remove(attempt);
    }

    private void dispatch() {
        int full = 0;
        while (!queue.isEmpty() && full < servers.size()) {
            ServerId server = servers.get(nextServer % servers.size());
            nextServer++;
            if (inFlight.getOrDefault(server, 0) >= inFlightLimit) {
                full++;
                continue;
            }
            full = 0;
            send(queue.poll(), server);
        }
    }

    private void send(RequestId request, ServerId server) {
        attemptCount++;
        AttemptId attempt = new AttemptId("naive-" + attemptCount);
        attemptRequests.put(attempt, request);
        attemptServers.put(attempt, server);
        inFlight.merge(server, 1, Integer::sum);
        attemptCounts.merge(request, 1, Integer::sum);
        commands.add(
                new RequestCommand.SendGeneration(
                        attempt,
                        request,
                        server,
                        artifacts.get(request),
                        forwardedTokens.getOrDefault(request, 0),
                        Priority.NORMAL,
                        NO_DEADLINE));
    }
}
