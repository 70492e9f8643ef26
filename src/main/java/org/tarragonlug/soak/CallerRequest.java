package org.tarragonlug.soak;

import java.util.Optional;

/**
 * What a caller sends, the same at each return.
 *
 * @param kind kind of the request
 * @param version version that has added its route, for routes that versions add
 * @param model the model, optionally followed by a slash and an adapter; not sent if the answer is
 *     no stream
 * @param bodyBytes length of the body
 * @param key key of the caller's account; empty for none
 */
record CallerRequest(
        RequestKind kind, int version, String model, int bodyBytes, Optional<String> key) {}
