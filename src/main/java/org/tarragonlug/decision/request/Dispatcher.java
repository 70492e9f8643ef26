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
    private static final double LEAST_TIME_SHARE = 0.5;

    /** Least time between reports of demand that are made out of turn. */
    private static final Duration DEMAND_PAUSE = Duration.ofMillis(50);

    /**
     * Served demand is reported half as often as waiting demand, to save messages. It must stay
     * well below the 5 s after which the decider takes an artifact without reports for idle.
     */
    private static final int SERVED_DEMAND_FACTOR = 2;

    private final CoordinatorContext context;
    private final ServerSelector selector;
    private final RequestEndings endings;
    private final SilenceWatch silence;

    Dispatcher(
            CoordinatorContext context,
            ServerSelector selector,
            RequestEndings endings,
            SilenceWatch silence) {
        this.context = context;
        this.selector = selector;
        this.endings = endings;
        this.silence = silence;
    }

    /** Dispatches whatever the present event made possible. */
    void dispatchChanged(Instant now) {
        while (!context.changedTargets.isEmpty() || !context.freedServers.isEmpty()) {
            List<Target> changed = new ArrayList<>(context.changedTargets);
            context.changedTargets.clear();
            for (Target target : changed) {
                dispatch(target, now);
            }
            List<BackendServer> freed = new ArrayList<>(context.freedServers);
            context.freedServers.clear();
            for (BackendServer server : freed) {
                serveBlocked(server, now);
            }
        }
    }

    /** Sends a request to the server reserved for it. */
    void send(PendingRequest request, Instant now) {
        BackendServer server = request.server;
        context.check(
                !server.isLeaving(),
                Invariant.LEAVING_SERVER_NO_NEW_WORK,
                request.id,
                "server=" + server.id);
        context.check(
                request.route.idempotent() || !request.mayHaveRun,
                Invariant.AT_MOST_ONCE,
                request.id,
                "sent again to server=" + server.id);
        Attempt attempt = new Attempt(context.nextAttempt(), request, server, now);
        request.state = PendingRequest.State.RUNNING;
        request.attempt = attempt;
        request.mayHaveRun = true;
        request.preferred = null;
        if (!request.attempted) {
            request.attempted = true;
            context.budget.firstAttempt();
        }
        request.attemptsWithoutProgress++;
        request.target.running++;
        context.attempts.put(attempt.id, attempt);
        server.attempts.add(attempt);
        server.prefixCached(request.description.prefix());
        silence.watch(attempt);
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

    private void serveBlocked(BackendServer server, Instant now) {
        if (server.blocked.isEmpty()) {
            return;
        }
        List<Target> blocked = new ArrayList<>(server.blocked);
        server.blocked.clear();
        for (Target target : blocked) {
            if (server.isUsable() && server.hasRoom()) {
                dispatch(target, now);
            } else {
                server.blocked.add(target);
            }
        }
    }

    private void dispatch(Target target, Instant now) {
        dispatchSuspects(target, now);
        boolean blocked = false;
        while (!blocked && target.queue.size() > 0) {
            PendingRequest request = target.queue.peek();
            if (cannotFinish(request, now)) {
                endings.refuse(
                        request,
                        RefusalReason.DEADLINE_TOO_NEAR,
                        Optional.of(target.expectedWait(request.route, request.priority, now)),
                        "waited_ms=" + Duration.between(request.arrivedAt, now).toMillis(),
                        now);
            } else if (context.quarantine.isSuspect(request.fingerprint, now)) {
                context.dequeue(request);
                context.enqueue(request, now);
            } else {
                blocked = !start(request, now);
            }
        }
        if (target.waiting() > 0) {
            waitForRoom(target, now);
        }
        scheduleDemand(target, now);
    }

    private void dispatchSuspects(Target target, Instant now) {
        PendingRequest next = target.suspects.first();
        while (next != null) {
            PendingRequest request = next;
            next = request.nextInList;
            if (!context.quarantine.isSuspect(request.fingerprint, now)) {
                context.dequeue(request);
                context.enqueue(request, now);
            } else if (!context.quarantine.isRunning(request.fingerprint)) {
                start(request, now);
            }
        }
    }

    /** Takes the request out of its queue and to a server; false if none has room. */
    private boolean start(PendingRequest request, Instant now) {
        BackendServer server = selector.select(request);
        if (server == null) {
            return false;
        }
        if (request.isolated) {
            context.dequeue(request);
        } else {
            request.target.queue.poll();
            request.target.dispatched(server.limit.isStarting(), now);
        }
        context.reserve(request, server);
        if (request.claimKey == null || request.claimHeld) {
            send(request, now);
        } else {
            request.state = PendingRequest.State.CLAIMING;
            request.claimOperation = context.nextOperation();
            context.add(
                    new RequestCommand.MakeClaim(
                            request.id,
                            request.claimKey,
                            request.claimOperation,
                            request.description.body()));
        }
        return true;
    }

    private boolean cannotFinish(PendingRequest request, Instant now) {
        boolean waited = request.arrivedAt.isBefore(now) && request.stream.next() == 0;
        double usual = request.target.duration.valueOr(0);
        return waited && request.remaining(now).toMillis() < usual * LEAST_TIME_SHARE;
    }

    private void waitForRoom(Target target, Instant now) {
        for (BackendServer server : target.replicas.ready) {
            server.blocked.add(target);
        }
        if (target.replicas.hasUsableServer()) {
            target.blocked(now);
        } else {
            target.coldStartBegan();
            boolean due = !target.demandReportedAt.plus(DEMAND_PAUSE).isAfter(now);
            if (target.pool.isPresent() && due) {
                reportDemand(target, now);
            }
        }
    }

    private void scheduleDemand(Target target, Instant now) {
        if (target.pool.isEmpty() || !target.hasDemand()) {
            return;
        }
        if (target.demand == null) {
            target.demand =
                    new TimerHeap.Timer(
                            due -> {
                                if (target.hasDemand()) {
                                    reportDemand(target, due);
                                    scheduleDemand(target, due);
                                }
                            });
        }
        Duration period = context.settings.demandPeriod();
        if (target.waiting() == 0) {
            period = period.multipliedBy(SERVED_DEMAND_FACTOR);
        }
        Instant next = now.plus(period);
        if (!target.demand.isScheduled() || target.demand.due().isAfter(next)) {
            context.timers.schedule(target.demand, next);
        }
    }

    private void reportDemand(Target target, Instant now) {
        target.demandReportedAt = now;
        target.pool.ifPresent(
                pool -> context.add(new RequestCommand.ReportDemand(pool, target.demand(now))));
        target.arrivals = 0;
    }
}
