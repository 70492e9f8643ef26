package org.tarragonlug.plainservice;

import org.tarragonlug.decision.request.AttemptFailure;

/** Observer of one call; exactly one method is called, on any thread. */
public interface ServiceListener {
    /** Called with the whole answer, whatever its status. */
    void onAnswer(ServiceAnswer answer);

    /**
     * Called if no whole answer came.
     *
     * @param failure how
     * @param detail one line
     */
    void onFailed(AttemptFailure failure, String detail);
}
