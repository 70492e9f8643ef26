package org.tarragonlug.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonlug.measure.VirtualTime;

/** One attempt of a caller at one instance. */
final class CallerAttempt implements SimulatedInstance.Caller {
    private static final Duration MIN_CALLER_PATIENCE = Duration.ofSeconds(2);
    private static final int CALLER_RETRIES = 1;

    /** Pause before a retry if the refusal names none. */
    private static final Duration DEFAULT_PAUSE = Duration.ofMillis(100);

    /** A caller waits at most this part of its remaining time before a retry. */
    private static final int LONGEST_PAUSE_DIVISOR = 3;

    private static final int PATIENCE_IN_TARGETS = 4;
    private static final int PATIENCE_IN_GAPS = 8;

    private final CallerRequest request;
    private final SimulatedInstance instance;
    private final VirtualTime time;
    private final FleetRecorder recorder;
    private final Consumer<CallerRequest> returns;
    private final Instant startedAt;
    private long call;
    private boolean ended;

    /**
     * Creates an attempt.
     *
     * @param request what the caller asks
     * @param instance the instance that is asked
     * @param time the simulated time
     * @param recorder counts how requests end
     * @param returns starts a further attempt for the same request
     */
    CallerAttempt(
            CallerRequest request,
            SimulatedInstance instance,
            VirtualTime time,
            FleetRecorder recorder,
            Consumer<CallerRequest> returns) {
        this.request = request;
        this.instance = instance;
        this.time = time;
        this.recorder = recorder;
        this.returns = returns;
        this.startedAt = time.now();
    }

    void start() {
        request.attempts++;
        request.lastEventAt = time.now();
        call = instance.onRequest(request, this);
        watch();
    }

    /** Leaves when no event has arrived for the caller's patience. */
    private void watch() {
        if (ended) {
            return;
        }
        Instant leaveAt = request.lastEventAt.plus(patience());
        Instant deadline = request.arrivedAt.plus(request.profile.timeout());
        leaveAt = leaveAt.isBefore(deadline) ? leaveAt : deadline;
        if (!time.now().isBefore(leaveAt)) {
            instance.onCallerLeft(call);
            end(FleetRecorder.End.ABANDONED);
        } else {
            time.after(Duration.between(time.now(), leaveAt), this::watch);
        }
    }

    private Duration patience() {
        Duration patience = MIN_CALLER_PATIENCE;
        Duration targets = request.profile.target().multipliedBy(PATIENCE_IN_TARGETS);
        Duration gaps = request.profile.gapTarget().multipliedBy(PATIENCE_IN_GAPS);
        patience = targets.compareTo(patience) > 0 ? targets : patience;
        return gaps.compareTo(patience) > 0 ? gaps : patience;
    }

    private void addHeldTime() {
        request.held = request.held.plus(Duration.between(startedAt, time.now()));
    }

    private void end(FleetRecorder.End how) {
        if (!ended) {
            ended = true;
            addHeldTime();
            recorder.record(request, how);
        }
    }

    @Override
    public void onEvent(int event) {
        if (!ended) {
            request.onEvent(event, time.now());
        }
    }

    @Override
    public void onSent() {
        Duration elapsed = Duration.between(request.arrivedAt, time.now());
        request.sentInTime |= elapsed.compareTo(request.profile.target()) <= 0;
    }

    @Override
    public void onAnswered() {
        boolean inTarget = request.inTarget();
        end(inTarget ? FleetRecorder.End.IN_TARGET : FleetRecorder.End.LATE);
    }

    @Override
    public void onRefused(Optional<Duration> retryAfter) {
        if (ended) {
            return;
        }
        Duration left =
                Duration.between(time.now(), request.arrivedAt.plus(request.profile.timeout()));
        Duration pause = retryAfter.orElse(DEFAULT_PAUSE);
        Duration longest = left.dividedBy(LONGEST_PAUSE_DIVISOR);
        pause = pause.compareTo(longest) > 0 ? longest : pause;
        if (request.attempts <= CALLER_RETRIES && !left.isNegative()) {
            addHeldTime();
            ended = true;
            time.after(pause, () -> returns.accept(request));
        } else {
            end(FleetRecorder.End.REFUSED);
        }
    }

    @Override
    public void onFailed() {
        if (!ended && request.profile.resumable() && request.attempts <= CALLER_RETRIES) {
            addHeldTime();
            ended = true;
            returns.accept(request);
        } else {
            end(FleetRecorder.End.FAILED);
        }
    }
}
