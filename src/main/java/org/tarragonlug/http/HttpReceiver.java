package org.tarragonlug.http;

import java.util.Map;

/**
 * Observer of the answer to one call. Calls are serialised; after {@link #completed}, {@link
 * #failed} or a cancellation nothing more is called.
 */
public interface HttpReceiver {
    /**
     * Called once when the head of the answer has come.
     *
     * @param status HTTP status
     * @param headers headers, names in lower case
     */
    void head(int status, Map<String, String> headers);

    /** Called for each part of the body. */
    void data(byte[] part);

    /** Called at the end of a whole answer. */
    void completed();

    /** Called if no whole answer came. */
    void failed(HttpFailure failure);
}
