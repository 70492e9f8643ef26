package org.tarragonlug.caller;

import org.tarragonlug.error.ErrorCode;

/** Observer of requests of callers. */
public interface CallerListener {
    /**
     * Called when a request has been received completely.
     *
     * @param request the request
     * @param answer where it is answered; exactly one end must follow
     */
    void onRequest(CallerRequest request, CallerAnswer answer);

    /**
     * Called when a request was refused before it was complete or because it is malformed.
     *
     * @param code the kind of error
     */
    void onRefused(ErrorCode code);

    /**
     * Called when a caller has gone before its answer ended.
     *
     * @param request the request
     */
    void onCallerDisconnected(CallerRequest request);
}
