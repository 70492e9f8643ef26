package org.tarragonlug.caller;

import org.tarragonlug.error.ErrorCode;

/** Receives the requests of callers. */
public interface CallerListener {
    /**
     * Called when a request has been received completely.
     *
     * @param request the request
     * @param answer the answer to the request; the listener must end it exactly once
     */
    void onRequest(CallerRequest request, CallerAnswer answer);

    /**
     * Called when the server has refused a request because it exceeds a limit or is malformed.
     * {@link #onRequest} is not called for this request.
     *
     * @param code the error code
     */
    void onRefused(ErrorCode code);

    /**
     * Called when a caller has closed its connection before the answer ended.
     *
     * @param request the request
     */
    void onCallerDisconnected(CallerRequest request);
}
