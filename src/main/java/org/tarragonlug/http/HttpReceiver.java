package org.tarragonlug.http;

import java.util.Map;

/**
 * Receives the answer to one call. The methods are never called concurrently, and no method is
 * called after {@link #onCompleted}, {@link #onFailed} or a cancellation of the call.
 */
public interface HttpReceiver {
    /**
     * Asked once, when there is a connection and before anything is written, because what allowed
     * the call may have changed since it was made.
     *
     * @return whether the call may still be sent; if not, it fails as {@code WITHDRAWN}
     */
    default boolean maySend() {
        return true;
    }

    /**
     * Called once, when the call is sent.
     *
     * @param position its place on its connection
     */
    default void onSent(CallPosition position) {}

    /**
     * Called for each late answer to another call that was skipped before the answer to this one.
     */
    default void onAnswerSkipped(SkippedAnswer skipped) {}

    /**
     * Called once, when the status and the headers of the answer have been received.
     *
     * @param status HTTP status
     * @param headers headers with names in lower case
     */
    void onHead(int status, Map<String, String> headers);

    /** Called for each received part of the body. */
    void onData(byte[] part);

    /** Returns how many bytes of the incomplete answer this receiver keeps in memory. */
    default long heldBytes() {
        return 0;
    }

    /** Called when the answer has been received completely. */
    void onCompleted();

    /** Called if the call failed before the answer was complete. */
    void onFailed(HttpFailure failure);
}
