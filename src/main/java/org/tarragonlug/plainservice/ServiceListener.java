package org.tarragonlug.plainservice;

import org.tarragonlug.decision.request.AttemptFailure;

/** Observer of one call; exactly one method is called, on any thread. */
public interface ServiceListener {
    /** Called with the whole answer, whatever its status. */
    void answered(ServiceAnswer answer);

    /**
     * Called if no whole answer came.
     *
     * @param failure how
     * @param detail one line
     */
    void failed(AttemptFailure failure, String detail);
}
