package org.tarragonlug.gateway;

import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.forwarding.AnswerProgress;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.decision.forwarding.ServerNotice;
import org.tarragonlug.http.HttpBody;
import org.tarragonlug.id.ServerId;

/** Translates the outcome of a call into events, as that of {@link ForwardingDriver} does. */
final class ExploredAttemptListener implements AttemptListener {
    private final ExploredWorld world;
    private final ExploredCall call;
    private final ExploredRequest request;

    ExploredAttemptListener(ExploredWorld world, ExploredCall call) {
        this.world = world;
        this.call = call;
        this.request = call.request;
    }

    private boolean isUnderWay() {
        return world.coordinator().isUnderWay(call.attempt);
    }

    @Override
    public boolean maySend() {
        return world.coordinator().maySend(call.attempt, world.timers.now());
    }

    @Override
    public void onRejected(Rejection rejection, boolean namesRequest, Optional<ReportedLoad> load) {
        if (rejection != Rejection.WITHDRAWN) {
            request.refusedBy.add(new ServerId(call.server));
        }
        world.post(new ForwardingEvent.Rejected(call.attempt, rejection, load));
    }

    @Override
    public void onServerNotice(ServerNotice notice) {
        world.post(new ForwardingEvent.ServerNoticed(call.attempt, notice));
    }

    @Override
    public void onStreamStarted(Map<String, String> headers, Optional<ReportedLoad> load) {
        world.post(new ForwardingEvent.StreamStarted(call.attempt, load));
        if (world.coordinator().isPrimary(call.attempt)) {
            request.streamStarted = true;
            request.answerStatus = 200;
            call.answerAccepted = true;
        }
        world.checkAnsweringCalls();
    }

    @Override
    public void onStreamEvent(byte[] bytes, long id) {
        if (world.coordinator().isPrimary(call.attempt)) {
            world.deliver(request, id);
        }
        world.post(new ForwardingEvent.EventRelayed(call.attempt, id));
    }

    @Override
    public void onStreamCompleted(Optional<ReportedLoad> load) {
        request.answeringCall = call;
        world.post(new ForwardingEvent.Answered(call.attempt, request.answerStatus, load));
    }

    @Override
    public void onAnswered(
            int status, Map<String, String> headers, HttpBody body, Optional<ReportedLoad> load) {
        if (request.streamStarted) {
            onBroken(AnswerProgress.CONTENT, "no stream");
            return;
        }
        if (isUnderWay()) {
            request.answerStatus = status;
            request.answeringCall = call;
        }
        world.post(new ForwardingEvent.Answered(call.attempt, status, load));
    }

    @Override
    public void onAnsweredAmbiguously(int status, Optional<ReportedLoad> load) {
        if (request.streamStarted) {
            onBroken(AnswerProgress.CONTENT, "no stream");
            return;
        }
        world.post(new ForwardingEvent.AnsweredAmbiguously(call.attempt, load));
    }

    @Override
    public void onBroken(AnswerProgress progress, String detail) {
        // An answer that is not accepted closes its connection before this is called.
        call.close();
        request.refusedBy.add(new ServerId(call.server));
        world.post(new ForwardingEvent.ConnectionBroken(call.attempt, progress));
    }
}
