package org.tarragonlug.decision.request;

import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ProcessId;

/**
 * The coordinator, assembled from its parts.
 *
 * <p>Every admitted request has a timer shortly before its deadline, which ends it whatever state
 * it is in; this is why none is dropped. A request is marked as possibly run when it is sent, and
 * the mark is taken back only by a failure that says that it did not run; every refusal derives its
 * outcome from this mark. Attempts are found by their ids, and an id is forgotten when the attempt
 * ends or is given up; so no event of an old attempt reaches a caller.
 *
 * <p>A token costs one look-up and two small objects. A tick costs what is due. The loss of a
 * server and a condemned request cost a pass over the requests in progress.
 */
public final class DefaultRequestCoordinator implements RequestCoordinator {
    private final CoordinatorContext context;
    private final AdmissionControl admission;
    private final Dispatcher dispatcher;
    private final RequestCompletion completion;
    private final AttemptHandler attempts;
    private final ClaimHandler claims;
    private final ServerHandler servers;
    private boolean draining;
    private boolean drained;

    /**
     * Creates the coordinator of one process.
     *
     * @param process prefix of the attempt and operation ids, unique to the process
     * @param failureDomain where the process runs
     * @param settings constants
     * @param hasher hashes route names for fingerprints
     * @param claimKeys derives the keys of claims
     * @param random draws versions by weight, and samples of servers
     * @param invariants told of violated invariants
     */
    public DefaultRequestCoordinator(
            ProcessId process,
            FailureDomain failureDomain,
            RequestSettings settings,
            Hasher hasher,
            ClaimKeys claimKeys,
            RandomGenerator random,
            InvariantListener invariants) {
        context = new CoordinatorContext(process, settings, invariants);
        completion = new RequestCompletion(context);
        ServerChecks checks = new ServerChecks(context);
        RetryPolicy retries = new RetryPolicy(context, completion, checks);
        ProgressMonitor silence = new ProgressMonitor(context, retries);
        ServerSelector selector = new ServerSelector(failureDomain, random);
        TargetRegistry targets = new TargetRegistry();
        dispatcher = new Dispatcher(context, selector, completion, silence);
        admission = new AdmissionControl(context, targets, completion, hasher, claimKeys, random);
        attempts = new AttemptHandler(context, completion, retries);
        claims = new ClaimHandler(context, completion, dispatcher);
        servers = new ServerHandler(context, targets, completion, retries, checks);
    }

    @Override
    public List<RequestCommand> handle(RequestEvent event, Instant now) {
        if (event instanceof RequestEvent.AttemptToken token) {
            RequestCommand forward = attempts.onToken(token, now);
            if (forward != null) {
                return List.of(forward);
            }
        } else if (!handleAttemptEvent(event, now) && !handleClaimEvent(event, now)) {
            handleOtherEvent(event, now);
        }
        dispatcher.dispatchPending(now);
        if (draining && !drained && context.requests.isEmpty()) {
            drained = true;
            context.add(new RequestCommand.Drained());
        }
        return context.takeCommands();
    }

    private boolean handleAttemptEvent(RequestEvent event, Instant now) {
        if (event instanceof RequestEvent.AttemptCompleted completed) {
            attempts.onCompleted(completed, now);
        } else if (event instanceof RequestEvent.AttemptAnswered answered) {
            attempts.onAnswered(answered, now);
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            attempts.onFailed(failed, now);
        } else {
            return false;
        }
        return true;
    }

    private boolean handleClaimEvent(RequestEvent event, Instant now) {
        if (event instanceof RequestEvent.ClaimAcquired made) {
            claims.onClaimAcquired(made.request(), now);
        } else if (event instanceof RequestEvent.ClaimFound found) {
            claims.onClaimFound(found, now);
        } else if (event instanceof RequestEvent.ClaimUnavailable unavailable) {
            claims.onClaimUnavailable(unavailable.request(), now);
        } else if (event instanceof RequestEvent.ClaimOutcomeUnknown unknown) {
            claims.onClaimOutcomeUnknown(unknown.request(), now);
        } else {
            return false;
        }
        return true;
    }

    private void handleOtherEvent(RequestEvent event, Instant now) {
        if (event instanceof RequestEvent.RequestArrived arrived) {
            admission.onRequestArrived(arrived.request(), arrived.description(), now);
        } else if (event instanceof RequestEvent.Tick) {
            context.timers.runDue(now);
        } else if (event instanceof RequestEvent.CallerDisconnected gone) {
            onCallerDisconnected(gone, now);
        } else if (event instanceof RequestEvent.ServerReported reported) {
            servers.onServerReport(reported, now);
        } else if (event instanceof RequestEvent.PrefixCacheChanged cached) {
            servers.onPrefixCacheChanged(cached);
        } else if (event instanceof RequestEvent.ReplicasChanged changed) {
            servers.onReplicasChanged(changed, now);
        } else if (event instanceof RequestEvent.ServersChanged changed) {
            servers.onServersChanged(changed);
        } else if (event instanceof RequestEvent.ServerUnreachable unreachable) {
            servers.onServerUnreachable(unreachable.server(), now);
        } else if (event instanceof RequestEvent.ServerLost lost) {
            servers.onServerLost(lost, now);
        } else if (event instanceof RequestEvent.SuspectsAnnounced announced) {
            servers.onSuspectsAnnounced(announced, now);
        } else if (event instanceof RequestEvent.FingerprintQuarantined condemned) {
            servers.onFingerprintQuarantined(condemned.fingerprint(), now);
        } else if (event instanceof RequestEvent.ConfigurationChanged changed) {
            admission.onConfigurationChanged(changed.configuration(), now);
        } else if (event instanceof RequestEvent.DrainStarted started) {
            startDrain(started);
        } else {
            throw new IllegalArgumentException("unknown event: " + event.getClass());
        }
    }

    private void onCallerDisconnected(RequestEvent.CallerDisconnected gone, Instant now) {
        PendingRequest request = context.requests.get(gone.request());
        if (request != null && !request.callerDisconnected) {
            completion.onCallerDisconnected(request, now);
        }
    }

    /** Requests go on; at the limit what is left is refused, which ends the drain. */
    private void startDrain(RequestEvent.DrainStarted started) {
        draining = true;
        TimerHeap.Timer limit =
                new TimerHeap.Timer(
                        due ->
                                completion.refuseAll(
                                        request -> true,
                                        RefusalReason.NOT_READY,
                                        "the time limit for stopping is reached",
                                        due));
        context.timers.schedule(limit, started.deadline());
    }
}
