package org.tarragonlug.caller;

import java.util.Map;
import java.util.Set;
import org.tarragonlug.http.HttpBody;

/** A request of a caller that is forwarded unchanged, with the methods to answer it. */
public interface ForwardedCall {
    /** Returns a number that is unique within the process. */
    long key();

    /** Returns the HTTP method. */
    String method();

    /** Returns path and query as received. */
    String target();

    /** Returns the path without query. */
    String path();

    /**
     * Returns the headers with names in lower case; of a repeated header only the last value is
     * kept.
     */
    Map<String, String> headers();

    /** Returns the names of the headers that the caller has sent more than once. */
    Set<String> repeatedHeaders();

    /** Reads the body. Has no effect if it is being read, or if the call has ended. */
    void receiveBody();

    /** Returns the complete body. */
    HttpBody body();

    /**
     * Answers with a complete body. Has no effect if the call has already been answered. If the
     * body of the request is not being read, it is dropped, and if it is long, the connection is
     * closed.
     */
    void answer(int status, Map<String, String> headers, HttpBody body);

    /** Starts a streamed answer. Has no effect if an answer has already been started. */
    void startStream(int status, Map<String, String> headers);

    /** Adds bytes to a streamed answer, after {@link #startStream}. */
    void writeToStream(byte[] bytes);

    /** Ends a streamed answer as complete. */
    void endStream();

    /** Closes the connection, so that the caller can tell that the answer is incomplete. */
    void abort();
}
