package org.tarragonlug.decision.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.IdempotencyKey;

/**
 * Properties of a request that routing, admission and dispatch use. The body itself stays with the
 * driver.
 *
 * @param method HTTP method
 * @param path path without query, starting with a slash
 * @param artifact name of the model or adapter, optionally with {@code @version}; empty if the
 *     request names none
 * @param headers headers by lower-case name
 * @param timeout time the caller allows from arrival; empty for the route's default
 * @param priority priority requested by the caller; empty for the route's priority
 * @param key the caller's idempotency key; empty if the caller sent none
 * @param bodyHash hash of the body; route hash and body hash together form the fingerprint
 * @param bodyBytes size of the body in bytes
 * @param prefixHash hash of the prompt's prefix as engines report it in cache events; 0 for none
 * @param streaming whether the caller wants tokens as they are generated
 */
public record RequestDescription(
        String method,
        String path,
        Optional<String> artifact,
        Map<String, String> headers,
        Optional<Duration> timeout,
        Optional<Priority> priority,
        Optional<IdempotencyKey> key,
        Fingerprint bodyHash,
        long bodyBytes,
        long prefixHash,
        boolean streaming) {
    public RequestDescription {
        headers = Map.copyOf(headers);
    }
}
