package org.tarragonlug.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tarragonlug.decision.forwarding.AnswerProgress;
import org.tarragonlug.decision.forwarding.CancelReason;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.http.CallPosition;
import org.tarragonlug.http.LateAnswer;
import org.tarragonlug.http.SkippedAnswer;
import org.tarragonlug.id.PromptPartId;
import org.tarragonlug.platform.RequestHeaders;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Writes the lines about forwarded requests.
 *
 * <p>An ordinary request has one line when it is written to its server and one when it ends. The
 * line about the end of any other request describes all its sends, so the cause can be read from it
 * even if the other lines are lost.
 */
final class ForwardingLog {
    private final EventLog log;
    private final TimerService timers;

    ForwardingLog(EventLog log, TimerService timers) {
        this.log = log;
        this.timers = timers;
    }

    /** Logs the connection on which a request is about to be written to a server. */
    void onConnectionReserved(ActiveRequest request, ServerSend send) {
        sendEvent(LogEvent.FORWARD_SENT, request, send)
                .with("address", send.command().address())
                .with("attempt", send.command().attempt().number())
                .with("remaining_ms", send.command().remaining().toMillis())
                .with("last_event", send.command().lastEventId())
                .with("prompt_parts", promptParts(request))
                .write();
    }

    private static String promptParts(ActiveRequest request) {
        return request.request.prefix().parts().stream()
                .map(PromptPartId::value)
                .collect(Collectors.joining(","));
    }

    void onRejected(
            ActiveRequest request, ServerSend send, Rejection rejection, boolean namesRequest) {
        sendEvent(LogEvent.FORWARD_REJECTED, request, send)
                .with("since_sent_ms", send.age(timers.now()).toMillis())
                .with("rejection", rejection)
                .with("names_request", namesRequest)
                .write();
    }

    void onBroken(ActiveRequest request, ServerSend send, AnswerProgress progress, String detail) {
        sendEvent(LogEvent.FORWARD_BROKEN, request, send)
                .with("since_sent_ms", send.age(timers.now()).toMillis())
                .with("received", progress)
                .with("detail", detail)
                .write();
    }

    /** Logs an answer whose status says "not run" without the server's statement of that. */
    void onAnsweredAmbiguously(ActiveRequest request, ServerSend send, int status) {
        sendEvent(LogEvent.FORWARD_AMBIGUOUS, request, send).with("status", status).writeRetained();
    }

    /** Logs that a send was ended here, why, and how long after it began. */
    void onCancelled(ActiveRequest request, ServerSend send, CancelReason reason) {
        sendEvent(LogEvent.FORWARD_CANCELLED, request, send)
                .with("since_sent_ms", send.age(timers.now()).toMillis())
                .with("reason", reason)
                .write();
    }

    /** Logs that an answer to another request came where the answer to this one was due. */
    void onAnswerSkipped(ActiveRequest request, ServerSend send, SkippedAnswer skipped) {
        sendEvent(LogEvent.FORWARD_ANSWER_SKIPPED, request, send)
                .with("since_sent_ms", send.age(timers.now()).toMillis())
                .with("answers", skipped.call())
                .with("status", skipped.status())
                .with("bytes", skipped.bytes())
                .writeRetained();
    }

    /** Logs an answer that came when no request was in progress on its connection. */
    void onLateAnswer(LateAnswer answer) {
        log.event(LogEvent.FORWARD_ANSWER_LATE)
                .with("request", answer.call())
                .with("status", answer.status())
                .with("connection", answer.localPort())
                .writeRetained();
    }

    /** Logs an event of a send that had ended before, and that therefore has no effect. */
    void onEventDiscarded(ActiveRequest request, ServerSend send, String event) {
        sendEvent(LogEvent.FORWARD_EVENT_DISCARDED, request, send)
                .with("since_sent_ms", send.age(timers.now()).toMillis())
                .with("discarded", event)
                .writeRetained();
    }

    /**
     * Logs the end of a request.
     *
     * @param stopping whether the process is stopping
     */
    void onEnded(ActiveRequest request, ForwardOutcome outcome, boolean stopping) {
        SendHistory sends = request.sends;
        Optional<NotRunGround> ground = outcome.ground();
        if (ground.equals(Optional.of(NotRunGround.UNPROVEN))) {
            log.event(LogEvent.INVARIANT_VIOLATED)
                    .with("invariant", "refused_request_has_not_run")
                    .with("request", request.requestId)
                    .with("sends", sends)
                    .write();
        }
        EventLog.Line line =
                log.event(LogEvent.FORWARD_ENDED)
                        .with("request", request.requestId)
                        .with("outcome", outcome.label())
                        .with("status", outcome.status())
                        .with("model", RequestHeaders.model(request.call.headers()))
                        .with("server", sends.lastServer())
                        .with("attempts", sends.count())
                        .with(
                                "took_ms",
                                Duration.between(request.arrivedAt, timers.now()).toMillis());
        ground.ifPresent(each -> line.with("not_run", each));
        if (stopping) {
            line.with("stopping", true);
        }
        boolean ordinary = sends.count() == 1 && outcome.isAnswered();
        if (sends.count() > 0 && (!ordinary || ground.isPresent())) {
            line.with("rejected", sends.rejected())
                    .with("unwritten", sends.unwritten())
                    .with("sends", sends);
        }
        if (ground.isPresent() && sends.count() > 0) {
            line.writeRetained();
        } else {
            line.write();
        }
    }

    /** Begins a line about a send, with what its connection had carried before. */
    private EventLog.Line sendEvent(LogEvent event, ActiveRequest request, ServerSend send) {
        Optional<CallPosition> position = send.position();
        EventLog.Line line =
                log.event(event)
                        .with("request", request.requestId)
                        .with("server", send.server())
                        .with("connection", position.map(CallPosition::localPort).orElse(0))
                        .with("earlier_calls", position.map(CallPosition::earlierCalls).orElse(0));
        if (position.filter(CallPosition::movedToNewConnection).isPresent()) {
            line.with("moved_to_new_connection", true);
        }
        return line;
    }
}
