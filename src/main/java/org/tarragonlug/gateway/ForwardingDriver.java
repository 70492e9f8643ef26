package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.caller.ForwardedCall;
import org.tarragonlug.caller.ForwardedCallListener;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.ForwardingCoordinator;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.platform.RequestHeaders;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Connects callers and servers with the coordinator of forwarded requests.
 *
 * <p>Everything runs on the event loop. An event that arises while commands are carried out waits
 * until they are done, so that the coordinator sees events in the order in which they happened.
 */
final class ForwardingDriver implements ForwardedCallListener {
    private static final int BAD_REQUEST = 400;
    private static final double MILLIS_PER_SECOND = 1000.0;

    /** The coordinator ends requests; this only frees what it may have missed. */
    private static final Duration ATTEMPT_MARGIN = Duration.ofSeconds(1);

    private final ForwardingCoordinator coordinator;
    private final HttpConnections connections;
    private final TimerService timers;
    private final EventLog log;
    private final DemandReporter demand;
    private final GatewayMetrics metrics;
    private final Map<Long, ForwardFlow> flows = new HashMap<>();
    private final Deque<ForwardingEvent> events = new ArrayDeque<>();
    private boolean handling;

    ForwardingDriver(
            ForwardingCoordinator coordinator,
            HttpConnections connections,
            TimerService timers,
            EventLog log,
            DemandReporter demand,
            GatewayMetrics metrics) {
        this.coordinator = coordinator;
        this.connections = connections;
        this.timers = timers;
        this.log = log;
        this.demand = demand;
        this.metrics = metrics;
    }

    @Override
    public void onRequest(ForwardedCall call) {
        String id = RequestHeaders.requestId(call.headers());
        if (id.isEmpty()) {
            call.answer(BAD_REQUEST, Map.of(), text("the request has no id; send one"));
            return;
        }
        flows.put(call.key(), new ForwardFlow(call, id, timers.now()));
        post(
                new ForwardingEvent.Arrived(
                        RequestHeaders.decode(call.key(), call.path(), call.headers())));
    }

    @Override
    public void onCallerDisconnected(ForwardedCall call) {
        ForwardFlow flow = flows.get(call.key());
        if (flow != null) {
            post(new ForwardingEvent.CallerGone(call.key()));
            ended(flow, "caller_gone", 0);
        }
    }

    /** Handles an event, after those that are being handled. */
    void post(ForwardingEvent event) {
        events.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            for (ForwardingEvent next = events.poll(); next != null; next = events.poll()) {
                coordinator.handle(next, timers.now()).forEach(this::execute);
            }
        } finally {
            handling = false;
        }
    }

    private void execute(ForwardingCommand command) {
        if (command instanceof ForwardingCommand.Send send) {
            send(send);
        } else if (command instanceof ForwardingCommand.PassAnswer pass) {
            pass(flows.get(pass.request()));
        } else if (command instanceof ForwardingCommand.Refuse refuse) {
            refuse(flows.get(refuse.request()), refuse);
        } else if (command instanceof ForwardingCommand.Fail fail) {
            fail(flows.get(fail.request()), fail);
        } else if (command instanceof ForwardingCommand.CancelAttempt cancel) {
            cancel(flows.get(cancel.request()));
        } else if (command instanceof ForwardingCommand.Wanted wanted) {
            demand.wanted(wanted, timers.now());
        } else if (command instanceof ForwardingCommand.Arrival arrival) {
            demand.arrived(arrival.service(), arrival.key());
        }
    }

    private void send(ForwardingCommand.Send send) {
        ForwardFlow flow = flows.get(send.request());
        Optional<InetSocketAddress> address = Addresses.parse(send.address());
        if (flow == null || address.isEmpty()) {
            return;
        }
        flow.attempts++;
        flow.server = send.server().value();
        log.event(LogEvent.FORWARD_SENT)
                .with("request", flow.callerId)
                .with("server", send.server())
                .with("attempt", flow.attempts)
                .with("remaining_ms", send.remaining().toMillis())
                .with("last_event", send.lastEventId())
                .write();
        ServerAttempt attempt =
                new ServerAttempt(
                        flow.callerId,
                        send.server().value(),
                        send.streaming(),
                        send.lastEventId(),
                        new Receiver(flow));
        flow.attempt = attempt;
        HttpCall call =
                new HttpCall(
                        flow.call.method(),
                        flow.call.target(),
                        RequestHeaders.towardsServer(flow.call.headers(), send),
                        flow.call.body(),
                        send.remaining().plus(ATTEMPT_MARGIN),
                        ConnectionUse.POOLED);
        attempt.started(connections.start(address.get(), call, attempt));
    }

    private void pass(ForwardFlow flow) {
        if (flow == null) {
            return;
        }
        if (flow.streamStarted) {
            flow.call.endStream();
        } else {
            flow.call.answer(
                    flow.answerStatus,
                    RequestHeaders.endToEnd(flow.answerHeaders),
                    flow.answerBody);
        }
        ended(flow, "answered", flow.answerStatus);
    }

    private void refuse(ForwardFlow flow, ForwardingCommand.Refuse refuse) {
        if (flow == null) {
            return;
        }
        Map<String, String> headers = new HashMap<>();
        refuse.retryAfter()
                .ifPresent(
                        after ->
                                headers.put(
                                        "retry-after",
                                        Double.toString(after.toMillis() / MILLIS_PER_SECOND)));
        String reason = refuse.reason().name().toLowerCase(java.util.Locale.ROOT);
        flow.call.answer(refuse.reason().status(), headers, text(reason));
        ended(flow, "refused_" + reason, refuse.reason().status());
    }

    private void fail(ForwardFlow flow, ForwardingCommand.Fail fail) {
        if (flow == null) {
            return;
        }
        String reason = fail.reason().name().toLowerCase(java.util.Locale.ROOT);
        if (flow.streamStarted) {
            flow.call.abort();
        } else {
            flow.call.answer(fail.reason().status(), Map.of(), text(reason));
        }
        ended(flow, "failed_" + reason, fail.reason().status());
    }

    private void cancel(ForwardFlow flow) {
        if (flow != null && flow.attempt != null) {
            flow.attempt.cancel();
            log.event(LogEvent.FORWARD_CANCELLED)
                    .with("request", flow.callerId)
                    .with("server", flow.server)
                    .write();
        }
    }

    private void ended(ForwardFlow flow, String outcome, int status) {
        flows.remove(flow.call.key());
        Instant now = timers.now();
        Duration taken = Duration.between(flow.arrivedAt, now);
        metrics.ended(outcome, taken);
        log.event(LogEvent.FORWARD_ENDED)
                .with("request", flow.callerId)
                .with("outcome", outcome)
                .with("status", status)
                .with("model", RequestHeaders.model(flow.call.headers()))
                .with("server", flow.server.isEmpty() ? "none" : flow.server)
                .with("attempts", flow.attempts)
                .with("took_ms", taken.toMillis())
                .write();
    }

    private static byte[] text(String line) {
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Turns what a server does into events. */
    private final class Receiver implements CallReceiver {
        private final ForwardFlow flow;
        private final long key;

        Receiver(ForwardFlow flow) {
            this.flow = flow;
            this.key = flow.call.key();
        }

        @Override
        public void rejected(Rejection rejection, Optional<ReportedLoad> load) {
            log.event(LogEvent.FORWARD_REJECTED)
                    .with("request", flow.callerId)
                    .with("server", flow.server)
                    .with("rejection", rejection)
                    .write();
            post(new ForwardingEvent.Rejected(key, rejection, load));
        }

        @Override
        public void streamStarted(Map<String, String> headers, Optional<ReportedLoad> load) {
            if (!flow.streamStarted) {
                flow.streamStarted = true;
                flow.answerStatus = 200;
                flow.call.startStream(200, RequestHeaders.endToEnd(headers));
            }
            post(new ForwardingEvent.StreamStarted(key, load));
        }

        @Override
        public void event(byte[] bytes, long id) {
            flow.call.writeToStream(bytes);
            post(new ForwardingEvent.EventPassed(key, id));
        }

        @Override
        public void answered(
                int status, Map<String, String> headers, byte[] body, Optional<ReportedLoad> load) {
            if (!flow.streamStarted) {
                flow.answerStatus = status;
                flow.answerHeaders = headers;
                flow.answerBody = body;
            } else if (body.length > 0) {
                // A resumed stream was answered by something that is no stream.
                broken("status " + status + " in place of a stream");
                return;
            }
            post(new ForwardingEvent.Answered(key, status, load));
        }

        @Override
        public void broken(String detail) {
            log.event(LogEvent.FORWARD_BROKEN)
                    .with("request", flow.callerId)
                    .with("server", flow.server)
                    .with("detail", detail)
                    .write();
            post(new ForwardingEvent.Broken(key));
        }
    }
}
