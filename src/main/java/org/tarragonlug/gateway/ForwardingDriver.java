package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.caller.ForwardedCall;
import org.tarragonlug.caller.ForwardedCallListener;
import org.tarragonlug.decision.account.Credential;
import org.tarragonlug.decision.account.KeyDigest;
import org.tarragonlug.decision.forwarding.AnswerProgress;
import org.tarragonlug.decision.forwarding.ForwardAttempt;
import org.tarragonlug.decision.forwarding.ForwardRequest;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.ForwardingCoordinator;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.RefusalReason;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.decision.forwarding.RequestHead;
import org.tarragonlug.decision.forwarding.ServerNotice;
import org.tarragonlug.decision.placement.DemandCollector;
import org.tarragonlug.http.CallPosition;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpBody;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.SkippedAnswer;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.platform.RequestHeaders;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Connects callers and servers with the {@link ForwardingCoordinator}.
 *
 * <p>All methods run on the event loop. An event that is posted while commands are being executed
 * is queued until they are finished, so the coordinator handles events in the order in which they
 * happened.
 */
final class ForwardingDriver implements ForwardedCallListener {
    private static final int BAD_REQUEST = 400;
    private static final double MILLIS_PER_SECOND = 1000.0;

    /**
     * Time beyond the deadline after which the HTTP client ends a call by itself. The coordinator
     * ends requests at the deadline; this timeout only frees calls that it may have missed.
     */
    private static final Duration ATTEMPT_MARGIN = Duration.ofSeconds(1);

    /** Lines about refused keys in ten seconds; enough to see which callers are concerned. */
    private static final int KEY_LOG_LINES = 10;

    private final ForwardingCoordinator coordinator;
    private final HttpConnections connections;
    private final TimerService timers;
    private final EventLog log;
    private final ForwardingLog requestLog;
    private final DemandCollector demandCollector;
    private final QuarantineDriver quarantine;
    private final QuotaDriver quotas;
    private final SlotReservationDriver reservations;
    private final GatewayMetrics metrics;
    private final Map<Long, ActiveRequest> activeRequests = new HashMap<>();
    private final Deque<ForwardingEvent> eventQueue = new ArrayDeque<>();
    private final Map<Long, OpenHead> openHeads = new HashMap<>();
    private final LogBudget keyLogBudget = new LogBudget(KEY_LOG_LINES);
    private ConfigurationReader configurationReader;
    private boolean processing;

    ForwardingDriver(
            ForwardingCoordinator coordinator,
            HttpConnections connections,
            TimerService timers,
            EventLog log,
            ForwardingLog requestLog,
            DemandCollector demandCollector,
            QuarantineDriver quarantine,
            QuotaDriver quotas,
            SlotReservationDriver reservations,
            GatewayMetrics metrics) {
        this.coordinator = coordinator;
        this.connections = connections;
        this.timers = timers;
        this.log = log;
        this.requestLog = requestLog;
        this.demandCollector = demandCollector;
        this.quarantine = quarantine;
        this.quotas = quotas;
        this.reservations = reservations;
        this.metrics = metrics;
    }

    /** Sets what reads the configuration when a key is unknown. */
    void start(ConfigurationReader reader) {
        configurationReader = reader;
    }

    @Override
    public void onRequestHead(ForwardedCall call) {
        if (!coordinator.needsKeys()) {
            call.receiveBody();
            return;
        }
        RequestHead head =
                RequestHeaders.decodeHead(
                        call.key(), call.path(), call.headers(), call.repeatedHeaders());
        openHeads.put(call.key(), new OpenHead(call, head.credential(), timers.now()));
        post(new ForwardingEvent.RequestHeadArrived(head));
    }

    @Override
    public void onRequest(ForwardedCall call) {
        String id = RequestHeaders.requestId(call.headers());
        if (id.isEmpty()) {
            call.answer(BAD_REQUEST, Map.of(), text("the request has no id; send one"));
            return;
        }
        ForwardRequest request =
                RequestHeaders.decode(
                        call.key(),
                        call.path(),
                        call.headers(),
                        call.repeatedHeaders(),
                        ContentHash.of(call));
        activeRequests.put(call.key(), new ActiveRequest(call, request, timers.now()));
        post(new ForwardingEvent.RequestArrived(request));
    }

    @Override
    public void onCallerDisconnected(ForwardedCall call) {
        ActiveRequest request = activeRequests.get(call.key());
        if (request != null) {
            post(new ForwardingEvent.CallerDisconnected(call.key()));
            finish(request, ForwardOutcome.callerGone());
        }
    }

    /** Returns the requests that this instance has in flight, by server. */
    Map<ServerId, Integer> takeAnswerPaces() {
        return coordinator.fleet().takeAnswerPaces();
    }

    Map<ServerId, Integer> statedPaces() {
        return coordinator.fleet().statedPaces(timers.now());
    }

    Map<ServerId, Integer> inFlight() {
        return coordinator.fleet().inFlight();
    }

    /** Returns the servers to which connections fail at present. */
    Set<ServerId> unreachableServers() {
        return coordinator.fleet().unreachable(timers.now());
    }

    /** Handles an event after all events that are already queued. */
    void post(ForwardingEvent event) {
        eventQueue.add(event);
        if (processing) {
            return;
        }
        processing = true;
        try {
            for (ForwardingEvent next = eventQueue.poll(); next != null; next = eventQueue.poll()) {
                coordinator.handle(next, timers.now()).forEach(this::execute);
            }
        } finally {
            processing = false;
        }
    }

    private void execute(ForwardingCommand command) {
        if (command instanceof ForwardingCommand.Send send) {
            send(send);
        } else if (command instanceof ForwardingCommand.RelayAnswer answer) {
            deliverAnswer(activeRequests.get(answer.request()));
        } else if (command instanceof ForwardingCommand.Refuse refuse) {
            refuse(refuse);
        } else if (command instanceof ForwardingCommand.ReceiveBody receive) {
            openHeads.remove(receive.request()).call().receiveBody();
        } else if (command instanceof ForwardingCommand.ReadConfiguration) {
            configurationReader.read();
        } else if (command instanceof ForwardingCommand.Fail fail) {
            fail(activeRequests.get(fail.request()), fail);
        } else if (command instanceof ForwardingCommand.CancelAttempt cancel) {
            cancel(cancel);
        } else if (command instanceof ForwardingCommand.ReserveSlot reserve) {
            reservations.reserve(reserve, this::post);
        } else if (command instanceof ForwardingCommand.ReleaseSlot release) {
            reservations.release(release);
        } else if (command instanceof ForwardingCommand.ReportWaiting wait) {
            demandCollector.recordWait(wait, timers.now());
        } else if (command instanceof ForwardingCommand.RequestAllowance) {
            quotas.scheduleCall();
        } else if (command instanceof ForwardingCommand.ReportArrival arrival) {
            demandCollector.recordArrival(arrival.service(), arrival.key());
        } else if (command instanceof ForwardingCommand.ReportRequestLost lost) {
            quarantine.onRequestLost(lost);
        } else if (command instanceof ForwardingCommand.ReportAnswerBegun begun) {
            quarantine.onAnswerBegun(begun);
        } else if (command instanceof ForwardingCommand.ReportServerAnswered answered) {
            quarantine.onServerAnswered(answered);
        } else if (command instanceof ForwardingCommand.ReportNotice report) {
            onNotice(report);
        } else if (command instanceof ForwardingCommand.ReportLimit report) {
            onLimit(report);
        } else if (command instanceof ForwardingCommand.ReportLateEvent) {
            metrics.recordLateEvent();
        }
    }

    private void send(ForwardingCommand.Send send) {
        ActiveRequest request = activeRequests.get(send.request());
        Optional<InetSocketAddress> address = Addresses.parse(send.address());
        if (request == null || address.isEmpty()) {
            return;
        }
        request.openSends().forEach(open -> open.attempt().retireSilentConnections());
        ServerSend serverSend = new ServerSend(send, timers.now());
        ServerAttempt attempt =
                new ServerAttempt(
                        request.requestId,
                        send.server().value(),
                        send.streaming(),
                        send.lastEventId(),
                        new AttemptHandler(request, serverSend),
                        timers);
        request.add(new ActiveRequest.OpenSend(serverSend, attempt));
        HttpCall call =
                new HttpCall(
                        request.call.method(),
                        request.call.target(),
                        RequestHeaders.forServer(request.call.headers(), send),
                        request.call.body(),
                        send.remaining().plus(ATTEMPT_MARGIN),
                        send.newConnection() ? ConnectionUse.NEW : ConnectionUse.POOLED,
                        Optional.of(RequestHeaders.answerName(request.requestId)));
        attempt.attachExchange(connections.start(address.get(), call, attempt));
    }

    private void deliverAnswer(ActiveRequest request) {
        if (request == null) {
            return;
        }
        if (request.streamStarted) {
            request.call.endStream();
        } else {
            request.call.answer(
                    request.answerStatus,
                    RequestHeaders.endToEnd(request.answerHeaders),
                    request.answerBody);
        }
        finish(request, ForwardOutcome.answered(request.answerStatus));
    }

    private void refuse(ForwardingCommand.Refuse refuse) {
        OpenHead head = openHeads.remove(refuse.request());
        ActiveRequest request = activeRequests.get(refuse.request());
        if (head != null) {
            answer(head.call(), refuse);
            onKeyRefused(head.call(), head.credential(), refuse.reason());
            Duration elapsed = Duration.between(head.arrivedAt(), timers.now());
            metrics.recordRequest(ForwardOutcome.labelOf(refuse.reason()), elapsed);
        } else if (request != null) {
            answer(request.call, refuse);
            if (refuse.reason().concernsKey()) {
                onKeyRefused(request.call, request.request.credential(), refuse.reason());
            }
            NotRunGround ground = request.sends.groundOfRefusal();
            finish(request, ForwardOutcome.refused(refuse.reason(), ground));
        }
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private void onKeyRefused(ForwardedCall call, Credential credential, RefusalReason reason) {
        metrics.recordRefusedKey(credential, reason);
        if (!keyLogBudget.tryAcquire(timers.now())) {
            return;
        }
        log.event(LogEvent.KEY_REFUSED)
                .with("request", RequestHeaders.requestId(call.headers()))
                .with("reason", lowerCase(reason))
                .with("credential", lowerCase(credential.state()))
                .with("digest", credential.digest().map(KeyDigest::toString).orElse("none"))
                .with("path", call.path())
                .with("suppressed", keyLogBudget.takeSuppressed())
                .write();
    }

    private static void answer(ForwardedCall call, ForwardingCommand.Refuse refuse) {
        Map<String, String> headers = new HashMap<>();
        if (refuse.reason() == RefusalReason.KEY_UNKNOWN) {
            headers.putAll(RequestHeaders.keyRequired());
        }
        refuse.retryAfter()
                .ifPresent(
                        after ->
                                headers.put(
                                        "retry-after",
                                        Double.toString(after.toMillis() / MILLIS_PER_SECOND)));
        call.answer(refuse.reason().status(), headers, text(lowerCase(refuse.reason())));
    }

    private void fail(ActiveRequest request, ForwardingCommand.Fail fail) {
        if (request == null) {
            return;
        }
        String reason = lowerCase(fail.reason());
        if (request.streamStarted) {
            request.call.abort();
        } else {
            request.call.answer(fail.reason().status(), Map.of(), text(reason));
        }
        finish(request, ForwardOutcome.failed(fail.reason()));
    }

    private void cancel(ForwardingCommand.CancelAttempt cancel) {
        ActiveRequest request = activeRequests.get(cancel.request());
        if (request == null) {
            return;
        }
        request.remove(cancel.attempt())
                .ifPresent(
                        open -> {
                            open.attempt().cancel();
                            open.send().onCancelled(timers.now());
                            metrics.recordCancelledSend(cancel.reason());
                            requestLog.onCancelled(request, open.send(), cancel.reason());
                        });
    }

    private void onNotice(ForwardingCommand.ReportNotice report) {
        ServerNotice notice = report.notice();
        ActiveRequest request = activeRequests.get(report.request());
        metrics.recordNotice(notice);
        log.event(notice.faults().isEmpty() ? LogEvent.SERVER_NOTICE : LogEvent.SERVER_NOTICE_ODD)
                .with("server", report.server().server())
                .with("started", report.server().startedMillis())
                .with("leaving", notice.leaving())
                .with("pause_ms", notice.pause().map(Duration::toMillis).orElse(0L))
                .with("faults", notice.faults())
                .with("request", request == null ? "ended" : request.requestId)
                .write();
    }

    private void onLimit(ForwardingCommand.ReportLimit report) {
        log.event(report.begins() ? LogEvent.SERVER_LIMIT_BEGUN : LogEvent.SERVER_LIMIT_ENDED)
                .with("server", report.server().server())
                .with("started", report.server().startedMillis())
                .with("cause", report.cause())
                .with("limit", (long) report.limit())
                .write();
    }

    private void finish(ActiveRequest request, ForwardOutcome outcome) {
        activeRequests.remove(request.call.key());
        metrics.recordRequest(outcome.label(), Duration.between(request.arrivedAt, timers.now()));
        requestLog.onEnded(request, outcome, coordinator.isStopping());
    }

    private static HttpBody text(String line) {
        return HttpBody.of((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Translates the outcome of an attempt into events for the coordinator. */
    private final class AttemptHandler implements AttemptListener {
        private final ActiveRequest request;
        private final ServerSend send;
        private final ForwardAttempt attempt;

        AttemptHandler(ActiveRequest request, ServerSend send) {
            this.request = request;
            this.send = send;
            this.attempt = send.command().attempt();
        }

        @Override
        public boolean maySend() {
            return coordinator.maySend(attempt, timers.now());
        }

        @Override
        public void onSent(CallPosition callPosition) {
            send.onConnectionReserved(callPosition);
            requestLog.onConnectionReserved(request, send);
            if (callPosition.movedToNewConnection()) {
                metrics.recordMoveToNewConnection();
            }
        }

        @Override
        public void onRejected(
                Rejection rejection, boolean namesRequest, Optional<ReportedLoad> load) {
            send.onRejected(rejection, timers.now());
            requestLog.onRejected(request, send, rejection, namesRequest);
            if (rejection == Rejection.WITHDRAWN) {
                metrics.recordWithdrawnRequest();
            }
            post(new ForwardingEvent.Rejected(attempt, rejection, load));
        }

        @Override
        public void onServerNotice(ServerNotice notice) {
            post(new ForwardingEvent.ServerNoticed(attempt, notice));
        }

        @Override
        public void onStreamStarted(Map<String, String> headers, Optional<ReportedLoad> load) {
            post(new ForwardingEvent.StreamStarted(attempt, load));
            if (!request.streamStarted && coordinator.isPrimary(attempt)) {
                request.streamStarted = true;
                request.answerStatus = 200;
                request.call.startStream(200, RequestHeaders.endToEnd(headers));
            }
        }

        @Override
        public void onStreamEvent(byte[] bytes, long id) {
            if (coordinator.isPrimary(attempt)) {
                request.call.writeToStream(bytes);
            }
            post(new ForwardingEvent.EventRelayed(attempt, id));
        }

        @Override
        public void onStreamCompleted(Optional<ReportedLoad> load) {
            send.onAnswered(timers.now());
            post(new ForwardingEvent.Answered(attempt, request.answerStatus, load));
        }

        @Override
        public void onAnswered(
                int status,
                Map<String, String> headers,
                HttpBody body,
                Optional<ReportedLoad> load) {
            if (request.streamStarted) {
                // Nothing of this answer belongs into the stream, and its end is not the stream's.
                onBroken(AnswerProgress.CONTENT, "status " + status + " instead of the rest of it");
                return;
            }
            send.onAnswered(timers.now());
            if (coordinator.isUnderWay(attempt)) {
                request.answerStatus = status;
                request.answerHeaders = headers;
                request.answerBody = body;
            }
            post(new ForwardingEvent.Answered(attempt, status, load));
        }

        @Override
        public void onAnsweredAmbiguously(int status, Optional<ReportedLoad> load) {
            if (request.streamStarted) {
                onBroken(AnswerProgress.CONTENT, "status " + status + " instead of the rest of it");
                return;
            }
            send.onAnswered(timers.now());
            requestLog.onAnsweredAmbiguously(request, send, status);
            post(new ForwardingEvent.AnsweredAmbiguously(attempt, load));
        }

        @Override
        public void onAnswerSkipped(SkippedAnswer skipped) {
            metrics.recordSkippedAnswer();
            requestLog.onAnswerSkipped(request, send, skipped);
        }

        @Override
        public void onSecondAnswer() {
            metrics.recordSecondAnswer();
        }

        @Override
        public void onBroken(AnswerProgress progress, String detail) {
            metrics.recordBrokenAnswer(progress);
            send.onBroken(timers.now());
            requestLog.onBroken(request, send, progress, detail);
            post(new ForwardingEvent.ConnectionBroken(attempt, progress));
        }

        /** Hands an event to the coordinator, and logs it if the send has ended before. */
        private void post(ForwardingEvent.OfAttempt event) {
            if (!coordinator.isUnderWay(attempt)) {
                requestLog.onEventDiscarded(request, send, event.getClass().getSimpleName());
            }
            ForwardingDriver.this.post(event);
        }
    }
}
