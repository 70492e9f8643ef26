package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.Invariant;

/**
 * Moves requests from their queues to servers: selects a server, requests the claim if one is
 * needed, and sends the request.
 *
 * <p>A target that finds no room registers at its servers. A server that gains room then serves the
 * targets registered there in turn, so an answer does not cost a pass over all waiting targets.
 */
final class Dispatcher {
    /**
     * A request that has waited is refused if less than this share of the average answer time
     * remains, because starting it is then not worthwhile.
     */
    private static final double MIN_REMAINING_TIME_SHARE = 0.5;

    /** Minimum interval between demand reports that are sent outside the regular period. */
    private static final Duration MIN_DEMAND_REPORT_INTERVAL = Duration.ofMillis(50);

    /**
     * Demand without waiting requests is reported half as often as demand with waiting requests, to
     * save messages. The resulting period must stay well below 5 s, because the decider considers
     * an artifact idle after 5 s without a report.
     */
    private static final int SERVED_DEMAND_PERIOD_FACTOR = 2;

    private final CoordinatorContext context;
    private final ServerSelector selector;
    private final RequestCompletion completion;
    private final ProgressMonitor progressMonitor;

    Dispatcher(
            CoordinatorContext context,
            ServerSelector selector,
            RequestCompletion completion,
            ProgressMonitor progressMonitor) {
        this.context = context;
        this.selector = selector;
        this.completion = completion;
        this.progressMonitor = progressMonitor;
    }

    /** Dispatches all targets and servers that the current event affected. */
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

    /** Sends a request to the server that is reserved for the request. */
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
        List<Target> registered = new ArrayList<>(server.waitingTargets);
        server.waitingTargets.clear();
        for (Target target : registered) {
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

    /**
     * Moves the request from its queue to a server with room and sends it or requests its claim.
     *
     * @return false if no server has room
     */
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
        double averageMillis = request.target.answerMillis.valueOr(0);
        return waited
                && request.remaining(now).toMillis() < averageMillis * MIN_REMAINING_TIME_SHARE;
    }

    private void registerForRoom(Target target, Instant now) {
        for (BackendServer server : target.replicas.ready) {
            server.waitingTargets.add(target);
        }
        if (target.replicas.hasUsableServer()) {
            target.markBacklogged(now);
        } else {
            target.clearBacklogStart();
            boolean reportDue =
                    !target.demandReportedAt.plus(MIN_DEMAND_REPORT_INTERVAL).isAfter(now);
            if (target.pool.isPresent() && reportDue) {
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
