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
 * @param answerName by what answers to the call name it; empty if they do not
 * @param group the calls with which this one shares pooled connections
 */
public record HttpCall(
        String method,
        String target,
        Map<String, String> headers,
        HttpBody body,
        Duration timeout,
        ConnectionUse use,
        Optional<AnswerName> answerName,
        ConnectionGroup group) {
    /** Creates a call of the common group. */
    public HttpCall(
            String method,
            String target,
            Map<String, String> headers,
            HttpBody body,
            Duration timeout,
            ConnectionUse use,
            Optional<AnswerName> answerName) {
        this(method, target, headers, body, timeout, use, answerName, ConnectionGroup.COMMON);
    }

    /** Creates a call with a body in one part, which is not copied, and answers without a name. */
    public HttpCall(
            String method,
            String target,
            Map<String, String> headers,
            byte[] body,
            Duration timeout,
            ConnectionUse use) {
        this(method, target, headers, HttpBody.of(body), timeout, use, Optional.empty());
    }

    /** Returns a GET call without headers and body. */
    public static HttpCall get(String target, Duration timeout, ConnectionUse use) {
        return new HttpCall(
                "GET", target, Map.of(), HttpBody.EMPTY, timeout, use, Optional.empty());
    }
}
