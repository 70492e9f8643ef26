package org.tarragonlug.http;

import java.time.Duration;
import java.util.Map;

/**
 * One HTTP call.
 *
 * @param method HTTP method
 * @param target path with query, percent-encoded
 * @param headers request headers
 * @param body request body, empty for none; not copied
 * @param timeout from the start of the call until the end of the answer
 * @param use which connection to use
 */
public record HttpCall(
        String method,
        String target,
        Map<String, String> headers,
        byte[] body,
        Duration timeout,
        ConnectionUse use) {
    private static final byte[] NO_BODY = new byte[0];

    /** Returns a GET call without headers. */
    public static HttpCall get(String target, Duration timeout, ConnectionUse use) {
        return new HttpCall("GET", target, Map.of(), NO_BODY, timeout, use);
    }
}
