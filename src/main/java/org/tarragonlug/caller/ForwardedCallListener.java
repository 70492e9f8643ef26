package org.tarragonlug.caller;

/** Receives the requests that are to be forwarded. */
public interface ForwardedCallListener {
    /**
     * Called when the head of a request has been received. The body is read when {@link
     * ForwardedCall#receiveBody} is called; if the call is answered instead, the body is dropped.
     */
    default void onRequestHead(ForwardedCall call) {
        call.receiveBody();
    }

    /** Called when a request has been received completely. */
    void onRequest(ForwardedCall call);

    /** Called when a caller has closed its connection before the answer ended. */
    void onCallerDisconnected(ForwardedCall call);
}
