package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.decision.Invariant;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.measure.RequestSimulationObserver;
import org.tarragonlug.measure.SimulatedRequest;

/** Compares the commands of the coordinator with what ran at the simulated servers. */
final class RequestChecker implements RequestSimulationObserver, InvariantListener {
    /** What was observed of one request. */
    static final class Outcome {
        final SimulatedRequest request;
        final Instant arrivedAt;
        int forwardedTokens;
        int runCount;
        int endCount;
        Instant endedAt;
        RequestCommand endCommand;
        boolean callerDisconnected;

        Outcome(SimulatedRequest request, Instant arrivedAt) {
            this.request = request;
            this.arrivedAt = arrivedAt;
        }

        Instant deadline() {
            return arrivedAt.plus(request.description().timeout().orElseThrow());
        }

        boolean answered() {
            return endCount == 1 && !(endCommand instanceof RequestCommand.Refuse);
        }
    }

    private static final Duration TOLERANCE = Duration.ofMillis(50);
    private static final Duration LEAVING_GRACE = Duration.ofSeconds(2);

    final Map<RequestId, Outcome> outcomes = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    final Set<ServerId> crashed = new HashSet<>();
    final Map<ServerId, Instant> leftAt = new HashMap<>();
    boolean drained;

    private final Set<String> nonIdempotentPaths;
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Map<AttemptId, RequestId> attempts = new HashMap<>();

    RequestChecker(Set<String> onceOnlyPaths) {
        this.nonIdempotentPaths = onceOnlyPaths;
    }

    @Override
    public void invariantViolated(Invariant invariant, String detail) {
        violations.add("reported by the coordinator: " + invariant + " " + detail);
    }

    @Override
    public void onRequestArrived(SimulatedRequest request, Instant now) {
        outcomes.put(request.id(), new Outcome(request, now));
    }

    @Override
    public void onServerCrashed(ServerId server, Instant now) {
        crashed.add(server);
    }

    @Override
    public void onAttemptStarted(
            SimulatedRequest request, AttemptId attempt, ServerId server, Instant now) {
        Outcome outcome = outcomes.get(request.id());
        outcome.runCount++;
        boolean refused =
                outcome.endCommand instanceof RequestCommand.Refuse refuse
                        && refuse.execution() == Execution.NOT_RUN;
        check(!refused, outcome, "ran after it was refused as not run");
        if (nonIdempotentPaths.contains(request.description().path())) {
            check(outcome.runCount == 1, outcome, "ran more than once");
            if (request.description().key().isPresent()) {
                int runs = runsByKey.merge(routeAndKey(request), 1, Integer::sum);
                check(runs == 1, outcome, "requests with its key ran more than once");
            }
        }
    }

    @Override
    public void onCommand(RequestCommand command, Instant now) {
        if (command instanceof RequestCommand.ForwardToken token) {
            Outcome outcome = outcomes.get(token.request());
            check(outcome.endCount == 0, outcome, "token forwarded after the end");
            check(
                    token.offset() == outcome.forwardedTokens,
                    outcome,
                    "unexpected token offset " + token.offset());
            check(
                    token.text().equals(outcome.request.token(token.offset())),
                    outcome,
                    "token does not match the request: " + token.text());
            outcome.forwardedTokens++;
        } else if (command instanceof RequestCommand.SendGeneration send) {
            checkSend(send.attempt(), send.request(), send.server(), now);
        } else if (command instanceof RequestCommand.SendCall send) {
            checkSend(send.attempt(), send.request(), send.server(), now);
        } else if (command instanceof RequestCommand.CompleteAnswer complete) {
            Outcome outcome = recordEnd(complete.request(), command, now);
            SimulatedRequest request = outcome.request;
            check(outcome.forwardedTokens == request.tokens(), outcome, "answer is incomplete");
            check(
                    complete.checksum().equals(request.checksum()),
                    outcome,
                    "checksum does not match the request");
        } else if (command instanceof RequestCommand.ForwardAnswer answer) {
            Outcome outcome = recordEnd(answer.request(), command, now);
            boolean own = answer.request().equals(attempts.get(answer.attempt()));
            check(
                    own && outcome.runCount > 0,
                    outcome,
                    "answer is not that of a run of this request");
        } else if (command instanceof RequestCommand.ForwardRecordedAnswer recorded) {
            Outcome outcome = recordEnd(recorded.request(), command, now);
            int runs = runsByKey.getOrDefault(routeAndKey(outcome.request), 0);
            check(runs == 1, outcome, "recorded answer without exactly one run of its key");
        } else if (command instanceof RequestCommand.Refuse refuse) {
            Outcome outcome = recordEnd(refuse.request(), command, now);
            check(
                    refuse.reason() != RefusalReason.NOT_READY,
                    outcome,
                    "refused at the drain deadline, which is after all request deadlines");
            boolean statedAsNotRun = refuse.execution() == Execution.NOT_RUN;
            check(!statedAsNotRun || outcome.runCount == 0, outcome, "refused as not run, but ran");
        } else if (command instanceof RequestCommand.Drained) {
            check(!drained, null, "Drained was sent twice");
            drained = true;
        }
    }

    /**
     * Checks, when no request is in progress any more, that each request got exactly one end, or
     * none if its caller disconnected.
     */
    void checkAllEnded() {
        for (Outcome outcome : outcomes.values()) {
            check(
                    outcome.endCount == 1 || outcome.callerDisconnected && outcome.endCount == 0,
                    outcome,
                    "does not have exactly one end");
        }
    }

    private void checkSend(AttemptId attempt, RequestId request, ServerId server, Instant now) {
        Outcome outcome = outcomes.get(request);
        check(attempts.put(attempt, request) == null, outcome, "attempt id used twice");
        check(outcome.endCount == 0, outcome, "sent after the end");
        Instant left = leftAt.get(server);
        boolean inTime = left == null || !now.isAfter(left.plus(LEAVING_GRACE));
        check(inTime, outcome, "sent to leaving server " + server);
    }

    private Outcome recordEnd(RequestId request, RequestCommand command, Instant now) {
        Outcome outcome = outcomes.get(request);
        outcome.endCount++;
        outcome.endCommand = command;
        outcome.endedAt = now;
        check(outcome.endCount == 1, outcome, "ended twice");
        check(
                !outcome.callerDisconnected,
                outcome,
                "ended by a command after its caller had disconnected");
        check(!now.isAfter(outcome.deadline().plus(TOLERANCE)), outcome, "ended late");
        return outcome;
    }

    /**
     * Returns the idempotency key together with the path, because equal keys of different routes
     * are different keys (docs/design.md section 4.5).
     */
    private static String routeAndKey(SimulatedRequest request) {
        return request.description().path() + " " + request.description().key().orElseThrow();
    }

    private void check(boolean holds, Outcome outcome, String message) {
        if (!holds) {
            violations.add(
                    message
                            + (outcome == null
                                    ? ""
                                    : ": " + outcome.request + " " + outcome.endCommand));
        }
    }
}
