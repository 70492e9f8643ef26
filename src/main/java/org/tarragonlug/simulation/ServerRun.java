package org.tarragonlug.simulation;

import java.util.Optional;
import org.tarragonlug.decision.forwarding.PromptPrefix;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.id.ModelKey;

/** One request at a model server, from its arrival there to its end. */
final class ServerRun {
    /** Receives what the server answers. */
    interface Listener {
        void onRejected(Rejection rejection, Optional<ReportedLoad> load);

        void onStarted(ReportedLoad load);

        void onEvent(long id);

        void onCompleted(ReportedLoad load);

        void onBroken();
    }

    final ModelKey key;
    final PromptPrefix prefix;
    final int urgency;
    final int firstEvent;
    final int events;
    final Listener listener;

    /** Tokens of the prompt that have to be read before the first event. */
    int unreadTokens;

    int producedTokens;
    boolean ended;

    /**
     * Creates a run that has not begun.
     *
     * @param key model and adapter
     * @param prefix shared part of the prompt
     * @param ownTokens length of the rest of the prompt
     * @param urgency 0 is admitted first
     * @param firstEvent number of the first event to send
     * @param events number of the last event
     * @param listener receives the answer
     */
    ServerRun(
            ModelKey key,
            PromptPrefix prefix,
            int ownTokens,
            int urgency,
            int firstEvent,
            int events,
            Listener listener) {
        this.key = key;
        this.prefix = prefix;
        this.unreadTokens = ownTokens;
        this.urgency = urgency;
        this.firstEvent = firstEvent;
        this.events = events;
        this.listener = listener;
    }
}
