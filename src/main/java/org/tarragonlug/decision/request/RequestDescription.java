package org.tarragonlug.decision.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.IdempotencyKey;

/**
 * What the decisions need to know about a request; the body itself stays at the edge.
 *
 * @param method HTTP method
 * @param path path without query, starting with a slash
 * @param artifact name of the model or adapter, optionally with {@code @version}; empty if the
 *     request names none
 * @param headers headers by lower-case name
 * @param timeout time the caller allows from arrival; empty for the route's default
 * @param priority priority the caller states; empty for that of the route
 * @param key the caller's idempotency key, if it sent one
 * @param bodyHash hash of the body; route and body hash together give the fingerprint
 * @param bodyBytes size of the body, bytes
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
