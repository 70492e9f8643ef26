package org.tarragonlug.caller;

/** Observer of requests of callers. */
public interface CallerListener {
    /**
     * Called when a request has been received completely.
     *
     * @param request the request
     * @param answer where it is answered; exactly one end must follow
     */
    void arrived(CallerRequest request, CallerAnswer answer);

    /**
     * Called when a caller has gone before its answer ended.
     *
     * @param request the request
     */
    void gone(CallerRequest request);
}
