package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tarragonlug.id.ModelKey;

/**
 * Handles what servers answer to requests: rejections, answers, broken connections and silence.
 *
 * <p>A request leaves its server here, before it is dispatched again or ends, so no second run
 * starts while the first one is in progress. The handler keeps nothing of a request: all state is
 * in {@link PendingForward}. It is called only for the attempt that is under way.
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
            Supplier<Optional<ForwardingTable>> table,
            Consumer<ForwardingCommand> output) {
        this.fleet = fleet;
        this.answerTimer = answerTimer;
        this.pending = pending;
        this.budgets = budgets;
        this.gate = gate;
        this.dispatcher = dispatcher;
        this.table = table;
        this.output = output;
    }

    /** Handles what has happened to the attempt that is under way. */
    void handle(PendingForward forward, ForwardingEvent.OfAttempt event, Instant now) {
        if (event instanceof ForwardingEvent.Rejected rejected) {
            onRejected(forward, rejected, now);
        } else if (event instanceof ForwardingEvent.ServerNoticed noticed) {
            onServerNoticed(forward, noticed.notice(), now);
        } else if (event instanceof ForwardingEvent.StreamStarted started) {
            onStreamStarted(forward, started, now);
        } else if (event instanceof ForwardingEvent.EventRelayed relayed) {
            onEventRelayed(forward, relayed, now);
        } else if (event instanceof ForwardingEvent.Answered answered) {
            onAnswered(forward, answered, now);
        } else if (event instanceof ForwardingEvent.AnsweredAmbiguously ambiguous) {
            onAnsweredAmbiguously(forward, ambiguous, now);
        } else if (event instanceof ForwardingEvent.ConnectionBroken broken) {
            onConnectionBroken(forward, broken.progress(), now);
        }
    }

    private void onRejected(PendingForward forward, ForwardingEvent.Rejected event, Instant now) {
        // Another server at the address says nothing about the one that was meant.
        boolean byOther = event.rejection() == Rejection.WRONG_SERVER;
        Optional<ReportedLoad> load = byOther ? Optional.empty() : event.load();
        FleetServer server = releaseServer(forward, load, now);
        load.ifPresent(each -> server.pace().recordStated(each.pace(), now));
        forward.possibleRuns--;
        if (event.rejection() == Rejection.WITHDRAWN) {
            dispatcher.dispatch(forward, now);
            return;
        }
        forward.excluded.add(server.id());
        switch (event.rejection()) {
            case MODEL_ABSENT ->
                    forward.request.model().ifPresent(key -> server.markModelAbsent(key, now));
            case WRONG_SERVER -> server.markUnreachable(now);
            case UNREACHABLE -> {
                forward.lostAddresses.add(forward.sentToAddress);
                server.markUnreachable(now);
            }
            case NO_OTHER_CONNECTION -> RetryPause.afterFullServer(forward, now);
            default -> onServerBusy(forward, server, load, now);
        }
        if (event.rejection().isByServer()) {
            onServerAnswered(forward, server, now);
            forward.rejections++;
        }
        // Only a send that reached a server makes the next one count as a retry.
        forward.needsRetry |= event.rejection().reachedServer();
        if (forward.rejections > MAX_REJECTIONS && !forward.streamStarted) {
            pending.turnAway(forward);
        } else {
            dispatcher.dispatch(forward, now);
        }
    }

    /**
     * Handles a rejection by a server that wants a pause, is full or unloads the model. A server
     * that wants a pause is left alone until its end. A server with free slots is not full, so it
     * unloads the model, and the request must wait for the model again. A full server is left alone
     * for a moment, since it would reject the same request again.
     */
    private void onServerBusy(
            PendingForward forward, FleetServer server, Optional<ReportedLoad> load, Instant now) {
        server.recordOutcome(false, now);
        if (server.isPaused(now)) {
            return;
        }
        boolean hasFreeSlots = load.filter(each -> each.running() < each.slots()).isPresent();
        if (hasFreeSlots && forward.needsModel()) {
            ModelKey key = forward.request.model().orElseThrow();
            server.markModelAbsent(new ModelKey(key.model(), ""), now);
        } else {
            recordFailure(forward, now);
            RetryPause.afterFullServer(forward, now);
            load.filter(each -> forward.needsModel())
                    .ifPresent(each -> forward.retryDelay = RetryDelay.afterGenerations(each));
        }
    }

    private void recordFailure(PendingForward forward, Instant now) {
        fleet.limits().of(forward.sentTo).ifPresent(limit -> limit.recordFailure(now));
    }

    private void onServerNoticed(PendingForward forward, ServerNotice notice, Instant now) {
        if (fleet.recordNotice(forward.sentTo, notice, now)) {
            output.accept(
                    new ForwardingCommand.ReportNotice(
                            forward.sentTo, notice, forward.request.key()));
        }
    }

    private void onStreamStarted(
            PendingForward forward, ForwardingEvent.StreamStarted event, Instant now) {
        event.load().ifPresent(load -> forward.server.recordReportedLoad(load, now));
        answerTimer.onHead(forward, event.load(), now);
        onServerAnswered(forward, forward.server, now);
        forward.state = PendingForward.State.STREAMING;
        forward.streamStarted = true;
        forward.lastProgress = now;
    }

    private void onEventRelayed(
            PendingForward forward, ForwardingEvent.EventRelayed event, Instant now) {
        answerTimer.onEvent(forward, event.eventId(), now);
        forward.lastEventId = Math.max(forward.lastEventId, event.eventId());
        forward.lastProgress = now;
        forward.stallCounted = false;
        onAnswerBegun(forward, forward.server, now);
    }

    private void onServerAnswered(PendingForward forward, FleetServer server, Instant now) {
        server.markReached(now);
        output.accept(new ForwardingCommand.ReportServerAnswered(forward.sentTo, forward.sentAt));
    }

    private void onAnswerBegun(PendingForward forward, FleetServer server, Instant now) {
        if (!forward.answerBegun) {
            forward.answerBegun = true;
            if (forward.sentTo.equals(server.incarnation())) {
                Duration time = Duration.between(forward.sentAt, now);
                fleet.limits().recordAnswer(server, forward.route.name(), time, now);
            }
            output.accept(new ForwardingCommand.ReportAnswerBegun(forward.allTraits()));
        }
    }

    private void onAnswered(PendingForward forward, ForwardingEvent.Answered event, Instant now) {
        if (event.status() >= SUCCESS && event.status() < REDIRECTION) {
            answerTimer.onAnswered(forward, event.load(), megabytes(forward), now);
        }
        boolean failed = event.status() >= SERVER_ERROR;
        FleetServer server = endAnswer(forward, event.load(), failed, now);
        if (!failed || !sendToAnother(forward, server, now)) {
            pending.relayAnswer(forward);
        }
    }

    private void onAnsweredAmbiguously(
            PendingForward forward, ForwardingEvent.AnsweredAmbiguously event, Instant now) {
        FleetServer server = endAnswer(forward, event.load(), true, now);
        if (!sendToAnother(forward, server, now)) {
            pending.fail(forward, FailureReason.ANSWER_AMBIGUOUS);
        }
    }

    /** Takes a request from the server that has answered it completely. */
    private FleetServer endAnswer(
            PendingForward forward, Optional<ReportedLoad> load, boolean failed, Instant now) {
        FleetServer server = releaseServer(forward, load, now);
        onServerAnswered(forward, server, now);
        onAnswerBegun(forward, server, now);
        server.recordOutcome(failed, now);
        return server;
    }

    /** Sends a request that a server answered with a failure to another one, if it may go there. */
    private boolean sendToAnother(PendingForward forward, FleetServer server, Instant now) {
        if (forward.streamStarted
                || !forward.mayRunAgain()
                || gate.blocks(forward)
                || !now.isBefore(forward.deadline)) {
            return false;
        }
        forward.excluded.add(server.id());
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

    private void onConnectionBroken(PendingForward forward, AnswerProgress progress, Instant now) {
        FleetServer server = releaseServer(forward, Optional.empty(), now);
        server.recordOutcome(true, now);
        recordFailure(forward, now);
        if (progress != AnswerProgress.CONTENT && fleet.isListedAsReady(forward.sentTo, now)) {
            output.accept(new ForwardingCommand.ReportRequestLost(forward.sentTo, forward.traits));
        }
        forward.excluded.add(server.id());
        forward.lostAddresses.add(forward.sentToAddress);
        RetryPause.afterBrokenConnection(forward, progress, now);
        retryOrFail(forward, FailureReason.SERVER_LOST, now);
    }

    private void retryOrFail(PendingForward forward, FailureReason reason, Instant now) {
        if (forward.mayRunAgain() && budgets.tryAcquire(forward.service, now)) {
            dispatcher.dispatch(forward, now);
            return;
        }
        pending.fail(forward, reason);
    }

    private FleetServer releaseServer(
            PendingForward forward, Optional<ReportedLoad> load, Instant now) {
        FleetServer server = forward.server;
        load.ifPresent(reported -> server.recordReportedLoad(reported, now));
        server.onRequestEnded();
        forward.state = PendingForward.State.WAITING;
        forward.lastProgress = now;
        return server;
    }

    /** Sends a request to another server if the present one has sent nothing for too long. */
    void checkStall(PendingForward forward, Instant now) {
        if (forward.stallCounted
                || Duration.between(forward.lastProgress, now).compareTo(StallTimeout.of(forward))
                        < 0) {
            return;
        }
        forward.stallCounted = true;
        FleetServer server = forward.server;
        server.recordStall(now);
        if (!forward.mayRunAgain()
                || dispatcher.choose(forward, Set.of(server.id()), now).isEmpty()
                || !budgets.tryAcquire(forward.service, now)) {
            return;
        }
        output.accept(
                new ForwardingCommand.CancelAttempt(forward.attempt, CancelReason.SERVER_SILENT));
        releaseServer(forward, Optional.empty(), now);
        forward.excluded.add(server.id());
        forward.lostAddresses.add(forward.sentToAddress);
        dispatcher.dispatch(forward, now);
    }
}
