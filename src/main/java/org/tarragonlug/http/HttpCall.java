package org.tarragonlug.http;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * One HTTP call to a server.
 *
 * @param method HTTP method
 * @param target percent-encoded path and query
 * @param headers request headers
 * @param body request body; empty if the call has none
 * @param timeout longest time from the start of the call to the end of the answer
 * @param use selects a pooled or a new connection
 * @param expectedAnswer how an answer names this call; empty if answers name no calls
 */
public record HttpCall(
        String method,
        String target,
        Map<String, String> headers,
        HttpBody body,
        Duration timeout,
        ConnectionUse use,
        Optional<ExpectedAnswer> expectedAnswer) {
    /** Creates a call whose answer names no call. */
    public HttpCall(
            String method,
            String target,
            Map<String, String> headers,
            HttpBody body,
            Duration timeout,
            ConnectionUse use) {
        this(method, target, headers, body, timeout, use, Optional.empty());
    }

    /** Creates a call with a body in one part, which is not copied. */
    public HttpCall(
            String method,
            String target,
            Map<String, String> headers,
            byte[] body,
            Duration timeout,
            ConnectionUse use) {
        this(method, target, headers, HttpBody.of(body), timeout, use);
    }

    /** Returns a GET call without headers and body. */
    public static HttpCall get(String target, Duration timeout, ConnectionUse use) {
        return new HttpCall("GET", target, Map.of(), HttpBody.EMPTY, timeout, use);
    }
}
