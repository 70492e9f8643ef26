package org.tarragonlug.plainservice;

import org.tarragonlug.decision.request.AttemptFailure;

/** Receives the outcome of one call. Exactly one method is called, on any thread. */
public interface ServiceListener {
    /** Called with the complete answer of the service, with any status. */
    void onAnswer(ServiceAnswer answer);

    /**
     * Called if the service refused the call or sent no complete answer.
     *
     * @param failure kind of failure
     * @param detail description of the failure, one line
     */
    void onFailed(AttemptFailure failure, String detail);
}
