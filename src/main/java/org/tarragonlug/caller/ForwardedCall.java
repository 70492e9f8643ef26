package org.tarragonlug.caller;

import java.util.Map;

/** A caller's request that is forwarded as it came, and the way to answer it. */
public interface ForwardedCall {
    /** Returns a number that is unique within the process. */
    long key();

    /** Returns the HTTP method. */
    String method();

    /** Returns path and query as received. */
    String target();

    /** Returns the path without query. */
    String path();

    /** Returns the headers, names in lower case; of a repeated header the last value. */
    Map<String, String> headers();

    /** Returns the whole body; not copied. */
    byte[] body();

    /** Answers with a whole body. Only the first answer counts. */
    void answer(int status, Map<String, String> headers, byte[] body);

    /** Begins a streamed answer. */
    void startStream(int status, Map<String, String> headers);

    /** Adds bytes to a streamed answer. */
    void writeToStream(byte[] bytes);

    /** Ends a streamed answer as complete. */
    void endStream();

    /** Breaks the connection, so that the answer is seen to be incomplete. */
    void abort();
}
