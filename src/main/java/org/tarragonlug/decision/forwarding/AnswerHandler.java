package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tarragonlug.id.ModelKey;

/**
 * Handles what servers answer to requests: rejections, answers and broken connections.
 *
 * <p>An attempt ends here, before its request is dispatched again or ends. If the other attempt of
 * the request is under way, the request goes on there. The handler keeps nothing of a request: all
 * state is in {@link PendingForward}. It is called only for attempts that are under way.
 */
final class AnswerHandler {
    private static final int MAX_REJECTIONS = 3;

    private static final int SERVER_ERROR = 500;
    private static final int SUCCESS = 200;
    private static final int REDIRECTION = 300;

    private final Fleet fleet;
    private final AnswerTimer answerTimer;
    private final PendingForwards pending;
    private final RetryBudgets budgets;
    private final QuarantineGate gate;
    private final RequestDispatcher dispatcher;
    private final BackupAttempts backups;
    private final Supplier<Optional<ForwardingTable>> table;
    private final Consumer<ForwardingCommand> output;

    /**
     * Creates a handler.
     *
     * @param fleet the known servers
     * @param answerTimer measures the times of answers
     * @param pending the requests, and the ways in which they end
     * @param budgets limits retries
     * @param gate requests that must not reach servers
     * @param dispatcher sends requests again
     * @param backups sends requests to second servers
     * @param table supplies the configuration in force
     * @param output receives the commands
     */
    AnswerHandler(
            Fleet fleet,
            AnswerTimer answerTimer,
            PendingForwards pending,
            RetryBudgets budgets,
            QuarantineGate gate,
            RequestDispatcher dispatcher,
            BackupAttempts backups,
            Supplier<Optional<ForwardingTable>> table,
            Consumer<ForwardingCommand> output) {
        this.fleet = fleet;
        this.answerTimer = answerTimer;
        this.pending = pending;
        this.budgets = budgets;
        this.gate = gate;
        this.dispatcher = dispatcher;
        this.backups = backups;
        this.table = table;
        this.output = output;
    }

    /** Handles what has happened to an attempt that is under way. */
    void handle(PendingForward forward, ForwardingEvent.OfAttempt event, Instant now) {
        OpenAttempt attempt = forward.open(event.attempt()).orElseThrow();
        if (event instanceof ForwardingEvent.Rejected rejected) {
            onRejected(forward, attempt, rejected, now);
        } else if (event instanceof ForwardingEvent.ServerNoticed noticed) {
            onServerNoticed(forward, attempt, noticed.notice(), now);
        } else if (event instanceof ForwardingEvent.StreamStarted started) {
            onStreamStarted(forward, attempt, started, now);
        } else if (event instanceof ForwardingEvent.EventRelayed relayed) {
            onEventRelayed(forward, attempt, relayed, now);
        } else if (event instanceof ForwardingEvent.Answered answered) {
            onAnswered(forward, attempt, answered, now);
        } else if (event instanceof ForwardingEvent.AnsweredAmbiguously ambiguous) {
            onAnsweredAmbiguously(forward, attempt, ambiguous, now);
        } else if (event instanceof ForwardingEvent.ConnectionBroken broken) {
            onConnectionBroken(forward, attempt, broken.progress(), now);
        }
    }

    private void onRejected(
            PendingForward forward,
            OpenAttempt attempt,
            ForwardingEvent.Rejected event,
            Instant now) {
        // Another server at the address says nothing about the one that was meant.
        boolean byOther = event.rejection() == Rejection.WRONG_SERVER;
        Optional<ReportedLoad> load = byOther ? Optional.empty() : event.load();
        FleetServer server = attempt.server;
        end(forward, attempt, load, now);
        load.ifPresent(each -> server.pace().recordStated(each.pace(), now));
        forward.possibleRuns--;
        if (event.rejection() != Rejection.WITHDRAWN) {
            recordRejection(forward, attempt, event.rejection(), load, now);
        }
        if (!forward.isWaiting()) {
            RetryPause.afterRejectedBackup(forward, now);
            return;
        }
        // Only a send that reached a server makes the next one count as a retry.
        forward.needsRetry |= event.rejection().reachedServer();
        if (forward.rejections > MAX_REJECTIONS && !forward.streamStarted) {
            pending.turnAway(forward);
        } else {
            dispatcher.dispatch(forward, now);
        }
    }

    private void recordRejection(
            PendingForward forward,
            OpenAttempt attempt,
            Rejection rejection,
            Optional<ReportedLoad> load,
            Instant now) {
        FleetServer server = attempt.server;
        forward.excluded.add(server.id());
        switch (rejection) {
            case MODEL_ABSENT ->
                    forward.request.model().ifPresent(key -> server.markModelAbsent(key, now));
            case WRONG_SERVER -> server.markUnreachable(now);
            case UNREACHABLE -> {
                forward.lostAddresses.add(attempt.address);
                server.markUnreachable(now);
            }
            case NO_OTHER_CONNECTION -> RetryPause.afterFullServer(forward, now);
            default -> onServerBusy(forward, attempt, load, now);
        }
        if (rejection.isByServer()) {
            onServerAnswered(attempt, now);
            forward.rejections++;
        }
    }

    /**
     * Handles a rejection by a server that wants a pause, is full or unloads the model. A server
     * that wants a pause is left alone until its end. A server with free slots is not full, so it
     * unloads the model, and the request must wait for the model again. A full server is left alone
     * for a moment, since it would reject the same request again.
     */
    private void onServerBusy(
            PendingForward forward, OpenAttempt attempt, Optional<ReportedLoad> load, Instant now) {
        FleetServer server = attempt.server;
        server.recordOutcome(false, now);
        if (server.isPaused(now)) {
            return;
        }
        boolean hasFreeSlots = load.filter(each -> each.running() < each.slots()).isPresent();
        if (hasFreeSlots && forward.needsModel()) {
            ModelKey key = forward.request.model().orElseThrow();
            server.markModelAbsent(new ModelKey(key.model(), ""), now);
        } else {
            recordFailure(attempt, now);
            RetryPause.afterFullServer(forward, now);
            load.filter(each -> forward.needsModel())
                    .ifPresent(each -> forward.retryDelay = RetryDelay.afterGenerations(each));
        }
    }

    private void recordFailure(OpenAttempt attempt, Instant now) {
        fleet.limits().of(attempt.sentTo).ifPresent(limit -> limit.recordFailure(now));
    }

    private void onServerNoticed(
            PendingForward forward, OpenAttempt attempt, ServerNotice notice, Instant now) {
        if (fleet.recordNotice(attempt.sentTo, notice, now)) {
            output.accept(
                    new ForwardingCommand.ReportNotice(
                            attempt.sentTo, notice, forward.request.key()));
        }
    }

    private void onStreamStarted(
            PendingForward forward,
            OpenAttempt attempt,
            ForwardingEvent.StreamStarted event,
            Instant now) {
        endOtherAttempt(forward, attempt);
        event.load().ifPresent(load -> attempt.server.recordReportedLoad(load, now));
        answerTimer.onHead(attempt, event.load(), now);
        onServerAnswered(attempt, now);
        attempt.streaming = true;
        attempt.lastProgress = now;
        forward.streamStarted = true;
    }

    private void onEventRelayed(
            PendingForward forward,
            OpenAttempt attempt,
            ForwardingEvent.EventRelayed event,
            Instant now) {
        endOtherAttempt(forward, attempt);
        answerTimer.onEvent(attempt, event.eventId(), now);
        forward.lastEventId = Math.max(forward.lastEventId, event.eventId());
        attempt.lastProgress = now;
        attempt.stallCounted = false;
        onAnswerBegun(forward, attempt, now);
    }

    /** Cancels the other attempt of a request whose server answers this one. */
    private void endOtherAttempt(PendingForward forward, OpenAttempt attempt) {
        if (forward.primary == attempt) {
            backups.cancel(forward, CancelReason.OTHER_SERVER_ANSWERS);
        } else {
            backups.promote(forward);
        }
    }

    private void onServerAnswered(OpenAttempt attempt, Instant now) {
        attempt.server.markReached(now);
        output.accept(new ForwardingCommand.ReportServerAnswered(attempt.sentTo, attempt.sentAt));
    }

    private void onAnswerBegun(PendingForward forward, OpenAttempt attempt, Instant now) {
        if (!attempt.answerBegun) {
            attempt.answerBegun = true;
            FleetServer server = attempt.server;
            if (attempt.sentTo.equals(server.incarnation())) {
                Duration time = Duration.between(attempt.sentAt, now);
                fleet.limits().recordAnswer(server, forward.route.name(), time, now);
            }
            output.accept(new ForwardingCommand.ReportAnswerBegun(forward.allTraits()));
        }
    }

    private void onAnswered(
            PendingForward forward,
            OpenAttempt attempt,
            ForwardingEvent.Answered event,
            Instant now) {
        boolean failed = event.status() >= SERVER_ERROR;
        forward.failureToRelay |= failed;
        if (failed && forward.hasAttemptBeside(attempt)) {
            endAnswer(forward, attempt, event.load(), true, now);
            return;
        }
        endOtherAttempt(forward, attempt);
        if (event.status() >= SUCCESS && event.status() < REDIRECTION) {
            answerTimer.onAnswered(forward, event.load(), megabytes(forward), now);
        }
        endAnswer(forward, attempt, event.load(), failed, now);
        if (!failed || !sendToAnother(forward, now)) {
            pending.relayAnswer(forward);
        }
    }

    private void onAnsweredAmbiguously(
            PendingForward forward,
            OpenAttempt attempt,
            ForwardingEvent.AnsweredAmbiguously event,
            Instant now) {
        endAnswer(forward, attempt, event.load(), true, now);
        if (forward.isWaiting() && !sendToAnother(forward, now)) {
            pending.fail(forward, FailureReason.ANSWER_AMBIGUOUS);
        }
    }

    /** Takes a request from the server that has answered it completely. */
    private void endAnswer(
            PendingForward forward,
            OpenAttempt attempt,
            Optional<ReportedLoad> load,
            boolean failed,
            Instant now) {
        end(forward, attempt, load, now);
        onServerAnswered(attempt, now);
        onAnswerBegun(forward, attempt, now);
        attempt.server.recordOutcome(failed, now);
        if (failed) {
            forward.excluded.add(attempt.server.id());
        }
    }

    /** Sends a request that a server answered with a failure to another one, if it may go there. */
    private boolean sendToAnother(PendingForward forward, Instant now) {
        if (forward.streamStarted
                || !forward.mayRunAgain()
                || gate.blocks(forward)
                || !now.isBefore(forward.deadline)) {
            return false;
        }
        Optional<FleetServer> other = dispatcher.choose(forward, forward.excluded, now);
        if (other.isEmpty() || !budgets.tryAcquire(forward.service, now)) {
            return false;
        }
        dispatcher.send(forward, other.get(), now);
        return true;
    }

    /** Returns the size of the request's model; 0 if it needs none or the size is not known. */
    private double megabytes(PendingForward forward) {
        return forward.request
                .model()
                .flatMap(
                        key ->
                                table.get()
                                        .map(present -> present.services().get(forward.service))
                                        .flatMap(ForwardingService::catalog)
                                        .flatMap(catalog -> catalog.model(key.model())))
                .map(ModelSpecification::weightsMegabytes)
                .orElse(0.0);
    }

    private void onConnectionBroken(
            PendingForward forward, OpenAttempt attempt, AnswerProgress progress, Instant now) {
        end(forward, attempt, Optional.empty(), now);
        attempt.server.recordOutcome(true, now);
        recordFailure(attempt, now);
        if (progress != AnswerProgress.CONTENT && fleet.isListedAsReady(attempt.sentTo, now)) {
            output.accept(new ForwardingCommand.ReportRequestLost(attempt.sentTo, forward.traits));
        }
        forward.excluded.add(attempt.server.id());
        forward.lostAddresses.add(attempt.address);
        RetryPause.afterBrokenConnection(forward, progress, now);
        if (forward.isWaiting()) {
            retryOrFail(forward, FailureReason.SERVER_LOST, now);
        }
    }

    /**
     * Sends a request again, or ends it. A stream that has begun waits while the budget for retries
     * is used up, since its caller can not begin it again.
     */
    private void retryOrFail(PendingForward forward, FailureReason reason, Instant now) {
        if (!forward.mayRunAgain()) {
            pending.fail(forward, reason);
        } else if (forward.streamStarted) {
            forward.needsRetry = true;
            dispatcher.dispatch(forward, now);
        } else if (budgets.tryAcquire(forward.service, now)) {
            dispatcher.dispatch(forward, now);
        } else {
            pending.fail(forward, reason);
        }
    }

    /** Ends an attempt. The request goes on at its other attempt, or waits if there is none. */
    private void end(
            PendingForward forward, OpenAttempt attempt, Optional<ReportedLoad> load, Instant now) {
        load.ifPresent(reported -> attempt.server.recordReportedLoad(reported, now));
        attempt.server.onRequestEnded();
        forward.remove(attempt, now);
    }
}
