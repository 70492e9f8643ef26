package org.tarragonlug.plainservice;

import java.time.Duration;
import java.util.Map;
import org.tarragonlug.id.AttemptId;

/**
 * A call of a plain service.
 *
 * @param attempt id of the attempt
 * @param method HTTP method
 * @param path path and query
 * @param headers headers to pass on to the service
 * @param body the body; not copied
 * @param remaining time left until the caller's deadline
 */
public record ServiceCall(
        AttemptId attempt,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Duration remaining) {}
