package org.tarragonlug.caller;

/** Receives the requests that are to be forwarded. */
public interface ForwardedCallListener {
    /** Called when a request has been received completely. */
    void onRequest(ForwardedCall call);

    /** Called when a caller has closed its connection before the answer ended. */
    void onCallerDisconnected(ForwardedCall call);
}
