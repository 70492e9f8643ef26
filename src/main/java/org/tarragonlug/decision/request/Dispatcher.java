package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.Invariant;

/**
 * Moves requests from their queues to servers: chooses the server, has the claim made, sends.
 *
 * <p>A target that finds no room registers at its servers, and the next server with room serves the
 * targets registered there in turn. So an answer costs no pass over all waiting targets.
 */
final class Dispatcher {
    /** Below this share of the usual time, a request that waited is not worth starting. */
    private static final double MIN_REMAINING_TIME_SHARE = 0.5;

    /** Least time between reports of demand that are made out of turn. */
    private static final Duration MIN_DEMAND_REPORT_INTERVAL = Duration.ofMillis(50);

    /**
     * Served demand is reported half as often as waiting demand, to save messages. It must stay
     * well below the 5 s after which the decider takes an artifact without reports for idle.
     */
    private static final int SERVED_DEMAND_PERIOD_FACTOR = 2;

    private final CoordinatorContext context;
    private final ServerSelector selector;
    private final RequestCompletion completion;
    private final ProgressMonitor progressMonitor;

    Dispatcher(
            CoordinatorContext context,
            ServerSelector selector,
            RequestCompletion endings,
            ProgressMonitor silence) {
        this.context = context;
        this.selector = selector;
        this.completion = endings;
        this.progressMonitor = silence;
    }

    /** Dispatches whatever the present event made possible. */
    void dispatchPending(Instant now) {
        while (!context.targetsToDispatch.isEmpty() || !context.serversWithRoom.isEmpty()) {
            List<Target> changed = new ArrayList<>(context.targetsToDispatch);
            context.targetsToDispatch.clear();
            for (Target target : changed) {
                dispatch(target, now);
            }
            List<BackendServer> freed = new ArrayList<>(context.serversWithRoom);
            context.serversWithRoom.clear();
            for (BackendServer server : freed) {
                dispatchWaitingTargets(server, now);
            }
        }
    }

    /** Sends a request to the server reserved for it. */
    void send(PendingRequest request, Instant now) {
        BackendServer server = request.server;
        context.checkInvariant(
                !server.isLeaving(),
                Invariant.LEAVING_SERVER_NO_NEW_WORK,
                request.id,
                "server=" + server.id);
        context.checkInvariant(
                request.route.idempotent() || !request.mayHaveRun,
                Invariant.AT_MOST_ONCE,
                request.id,
                "sent again to server=" + server.id);
        Attempt attempt = new Attempt(context.nextAttempt(), request, server, now);
        request.state = PendingRequest.State.RUNNING;
        request.attempt = attempt;
        request.mayHaveRun = true;
        request.preferredServer = null;
        if (!request.attempted) {
            request.attempted = true;
            context.retryBudget.addFirstAttempt();
        }
        request.attemptsWithoutProgress++;
        request.target.running++;
        context.attempts.put(attempt.id, attempt);
        server.attempts.add(attempt);
        server.addPrefix(request.description.prefixHash());
        progressMonitor.watch(attempt);
        context.add(sendCommand(attempt, now));
    }

    private static RequestCommand sendCommand(Attempt attempt, Instant now) {
        PendingRequest request = attempt.request;
        if (request.target.artifact == null) {
            return new RequestCommand.SendCall(
                    attempt.id, request.id, attempt.server.id, request.remaining(now));
        }
        return new RequestCommand.SendGeneration(
                attempt.id,
                request.id,
                attempt.server.id,
                request.target.artifact,
                attempt.startOffset,
                request.priority,
                request.remaining(now));
    }

    private void dispatchWaitingTargets(BackendServer server, Instant now) {
        if (server.waitingTargets.isEmpty()) {
            return;
        }
        List<Target> blocked = new ArrayList<>(server.waitingTargets);
        server.waitingTargets.clear();
        for (Target target : blocked) {
            if (server.isUsable() && server.hasRoom()) {
                dispatch(target, now);
            } else {
                server.waitingTargets.add(target);
            }
        }
    }

    private void dispatch(Target target, Instant now) {
        dispatchSuspects(target, now);
        boolean blocked = false;
        while (!blocked && target.queue.size() > 0) {
            PendingRequest request = target.queue.peek();
            if (isTooLateToStart(request, now)) {
                completion.refuse(
                        request,
                        RefusalReason.DEADLINE_TOO_NEAR,
                        Optional.of(target.expectedWait(request.route, request.priority, now)),
                        "waited_ms=" + Duration.between(request.arrivedAt, now).toMillis(),
                        now);
            } else if (context.quarantine.isSuspect(request.fingerprint, now)) {
                context.dequeue(request);
                context.enqueue(request, now);
            } else {
                blocked = !startOnServer(request, now);
            }
        }
        if (target.waiting() > 0) {
            registerForRoom(target, now);
        }
        scheduleDemandReport(target, now);
    }

    private void dispatchSuspects(Target target, Instant now) {
        PendingRequest next = target.suspects.first();
        while (next != null) {
            PendingRequest request = next;
            next = request.nextInList;
            if (!context.quarantine.isSuspect(request.fingerprint, now)) {
                context.dequeue(request);
                context.enqueue(request, now);
            } else if (!context.quarantine.hasRunningAttempt(request.fingerprint)) {
                startOnServer(request, now);
            }
        }
    }

    /** Takes the request out of its queue and to a server; false if none has room. */
    private boolean startOnServer(PendingRequest request, Instant now) {
        BackendServer server = selector.select(request);
        if (server == null) {
            return false;
        }
        if (request.isolated) {
            context.dequeue(request);
        } else {
            request.target.queue.poll();
            request.target.recordDispatch(server.limit.isInSlowStart(), now);
        }
        context.reserve(request, server);
        if (request.claimKey == null || request.claimHeld) {
            send(request, now);
        } else {
            request.state = PendingRequest.State.CLAIMING;
            request.claimOperation = context.nextOperation();
            context.add(
                    new RequestCommand.CreateClaim(
                            request.id,
                            request.claimKey,
                            request.claimOperation,
                            request.description.bodyHash()));
        }
        return true;
    }

    private boolean isTooLateToStart(PendingRequest request, Instant now) {
        boolean waited = request.arrivedAt.isBefore(now) && request.stream.nextOffset() == 0;
        double usual = request.target.answerMillis.valueOr(0);
        return waited && request.remaining(now).toMillis() < usual * MIN_REMAINING_TIME_SHARE;
    }

    private void registerForRoom(Target target, Instant now) {
        for (BackendServer server : target.replicas.ready) {
            server.waitingTargets.add(target);
        }
        if (target.replicas.hasUsableServer()) {
            target.markBacklogged(now);
        } else {
            target.clearBacklogStart();
            boolean due = !target.demandReportedAt.plus(MIN_DEMAND_REPORT_INTERVAL).isAfter(now);
            if (target.pool.isPresent() && due) {
                reportDemand(target, now);
            }
        }
    }

    private void scheduleDemandReport(Target target, Instant now) {
        if (target.pool.isEmpty() || !target.hasDemand()) {
            return;
        }
        if (target.demandTimer == null) {
            target.demandTimer =
                    new TimerHeap.Timer(
                            due -> {
                                if (target.hasDemand()) {
                                    reportDemand(target, due);
                                    scheduleDemandReport(target, due);
                                }
                            });
        }
        Duration period = context.settings.demandPeriod();
        if (target.waiting() == 0) {
            period = period.multipliedBy(SERVED_DEMAND_PERIOD_FACTOR);
        }
        Instant next = now.plus(period);
        if (!target.demandTimer.isScheduled() || target.demandTimer.due().isAfter(next)) {
            context.timers.schedule(target.demandTimer, next);
        }
    }

    private void reportDemand(Target target, Instant now) {
        target.demandReportedAt = now;
        target.pool.ifPresent(
                pool -> context.add(new RequestCommand.ReportDemand(pool, target.demand(now))));
        target.arrivals = 0;
    }
}
