package org.tarragonlug.http;

import java.util.Map;

/**
 * Observer of the answer to one call. Calls are serialised; after {@link #onCompleted}, {@link
 * #onFailed} or a cancellation nothing more is called.
 */
public interface HttpReceiver {
    /**
     * Called once when the head of the answer has come.
     *
     * @param status HTTP status
     * @param headers headers, names in lower case
     */
    void onHead(int status, Map<String, String> headers);

    /** Called for each part of the body. */
    void onData(byte[] part);

    /** Called at the end of a whole answer. */
    void onCompleted();

    /** Called if no whole answer came. */
    void onFailed(HttpFailure failure);
}
