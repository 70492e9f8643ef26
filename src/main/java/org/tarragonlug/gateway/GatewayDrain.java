package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.tarragonlug.caller.ForwardingServer;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.ownership.LeaseEvent;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * The graceful stop of a gateway. It stops giving orders at once. It stops accepting connections
 * once the platform has had time to take it out of rotation, and then waits for the requests in
 * progress and until their callers have been sent the last bytes of their answers. Requests that
 * last longer than the drain time allows are answered before the process exits: their callers would
 * otherwise not know whether they ran.
 */
final class GatewayDrain {
    /**
     * How long the platform may keep sending callers to this instance after it stopped reporting
     * ready. New connections are accepted for this long.
     */
    private static final Duration ROTATION_REMOVAL_TIME = Duration.ofMillis(2400);

    /** Part of the drain time that is reserved for the exit of the process. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(900);

    /** Time for sending the answers of the requests that end last; part of the exit margin. */
    private static final Duration LAST_ANSWERS_TIME = Duration.ofMillis(400);

    private static final Duration POLL_PERIOD = Duration.ofMillis(50);

    private final Duration drainTime;
    private final ForwardingServer callers;
    private final ForwardingDriver forwarding;
    private final OrderLeases leases;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final CompletableFuture<Void> done = new CompletableFuture<>();

    /**
     * Creates a drain without starting it.
     *
     * @param drainTime time from the request to stop until the process is ended
     * @param callers the server that accepts requests
     * @param loop the event loop that owns the state
     */
    GatewayDrain(
            Duration drainTime,
            ForwardingServer callers,
            ForwardingDriver forwarding,
            OrderLeases leases,
            Executor loop,
            TimerService timers,
            EventLog log) {
        this.drainTime = drainTime;
        this.callers = callers;
        this.forwarding = forwarding;
        this.leases = leases;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
    }

    /**
     * Starts the drain.
     *
     * @return a stage that completes when no request is in progress and all answers have been sent,
     *     or the drain time is over; it never fails
     */
    CompletionStage<Void> start() {
        Instant end = timers.now().plus(drainTime).minus(EXIT_MARGIN);
        log.event(LogEvent.DRAIN_STARTED).with("in_progress", callers.inProgress()).write();
        loop.execute(
                () -> {
                    leases.postAll(new LeaseEvent.Stopping());
                    forwarding.post(new ForwardingEvent.StopScheduled(end));
                });
        timers.scheduleOnce(ROTATION_REMOVAL_TIME, now -> stopAccepting(end));
        return done;
    }

    private void stopAccepting(Instant end) {
        callers.stopGracefully();
        forwarding.post(new ForwardingEvent.QueueClosed());
        awaitIdle(end.plus(LAST_ANSWERS_TIME));
    }

    private void awaitIdle(Instant end) {
        int inProgress = callers.inProgress();
        int sending = callers.sendingCount();
        boolean idle = inProgress <= 0 && sending == 0;
        if (idle || !timers.now().isBefore(end)) {
            log.event(LogEvent.DRAIN_ENDED)
                    .with("in_progress", inProgress)
                    .with("sending", sending)
                    .write();
            done.complete(null);
            return;
        }
        timers.scheduleOnce(POLL_PERIOD, now -> awaitIdle(end));
    }
}
