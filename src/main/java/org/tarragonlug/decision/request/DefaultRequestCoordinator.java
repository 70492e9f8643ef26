package org.tarragonlug.decision.request;

import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ProcessId;

/**
 * Default implementation of the request coordinator.
 *
 * <p>Every admitted request has a timer that is due shortly before its deadline and ends the
 * request in whatever state it is. Therefore, no request is left without an end. A request is
 * marked as possibly run when it is sent, and only a failure that states that the request did not
 * run clears the mark. The execution stated in every refusal is derived from this mark. Attempts
 * are looked up by id, and the id is removed when the attempt ends or is abandoned, so events of
 * old attempts never reach a caller.
 *
 * <p>A token costs one look-up and two small objects. A tick costs only the timers that are due.
 * The loss of a server and the quarantine of a request each cost a pass over the requests in
 * progress.
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
     * @param failureDomain failure domain of the process
     * @param settings limits, timeouts and periods
     * @param hasher hashes route names for fingerprints
     * @param claimKeys derives the keys of claims
     * @param random source of randomness for choosing versions by weight and sampling servers
     * @param invariants notified of violated invariants
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
        ServerChecks serverChecks = new ServerChecks(context);
        RetryPolicy retryPolicy = new RetryPolicy(context, completion, serverChecks);
        ProgressMonitor progressMonitor = new ProgressMonitor(context, retryPolicy);
        ServerSelector selector = new ServerSelector(failureDomain, random);
        TargetRegistry targets = new TargetRegistry();
        dispatcher = new Dispatcher(context, selector, completion, progressMonitor);
        admission = new AdmissionControl(context, targets, completion, hasher, claimKeys, random);
        attempts = new AttemptHandler(context, completion, retryPolicy);
        claims = new ClaimHandler(context, completion, dispatcher);
        servers = new ServerHandler(context, targets, completion, retryPolicy, serverChecks);
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
        if (event instanceof RequestEvent.ClaimAcquired acquired) {
            claims.onClaimAcquired(acquired.request(), now);
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
        } else if (event instanceof RequestEvent.CallerDisconnected disconnected) {
            onCallerDisconnected(disconnected, now);
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
        } else if (event instanceof RequestEvent.FingerprintQuarantined quarantined) {
            servers.onFingerprintQuarantined(quarantined.fingerprint(), now);
        } else if (event instanceof RequestEvent.ConfigurationChanged changed) {
            admission.onConfigurationChanged(changed.configuration(), now);
        } else if (event instanceof RequestEvent.DrainStarted started) {
            startDrain(started);
        } else {
            throw new IllegalArgumentException("unknown event: " + event.getClass());
        }
    }

    private void onCallerDisconnected(RequestEvent.CallerDisconnected disconnected, Instant now) {
        PendingRequest request = context.requests.get(disconnected.request());
        if (request != null && !request.callerDisconnected) {
            completion.onCallerDisconnected(request, now);
        }
    }

    /**
     * Starts the drain. Requests continue to be served. When the deadline is reached, the remaining
     * requests are refused, which ends the drain.
     */
    private void startDrain(RequestEvent.DrainStarted started) {
        draining = true;
        TimerHeap.Timer drainTimer =
                new TimerHeap.Timer(
                        due ->
                                completion.refuseAll(
                                        request -> true,
                                        RefusalReason.NOT_READY,
                                        "the drain deadline has passed",
                                        due));
        context.timers.schedule(drainTimer, started.deadline());
    }
}
