package org.tarragonlug.http;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import java.util.Set;

/** Creates the library's requests from calls, and refuses what is not valid HTTP. */
final class RequestEncoder {
    private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");
    private static final char HIGHEST_CONTROL_CHARACTER = 0x1f;
    private static final char DELETE_CHARACTER = 0x7f;

    private RequestEncoder() {}

    /**
     * Creates the request of a call.
     *
     * @param call the call
     * @param client the client that will send the request
     * @param onBodyWritten called when the whole body has been handed to a connection; not called
     *     without a body
     * @throws IllegalArgumentException if the target or a header contains a forbidden character; a
     *     line break would start another header or request
     */
    static StreamingHttpRequest encode(
            HttpCall call, StreamingHttpClient client, Runnable onBodyWritten) {
        requirePrintable(call.target(), ' ');
        call.headers()
                .forEach(
                        (name, value) -> {
                            requirePrintable(name, ' ');
                            requirePrintable(value, HIGHEST_CONTROL_CHARACTER);
                        });
        HttpRequestMethod method =
                HttpRequestMethod.of(call.method(), HttpRequestMethod.Properties.NONE);
        StreamingHttpRequest request = client.newRequest(method, call.target());
        call.headers().forEach(request::setHeader);
        if (call.body().length() > 0) {
            request.setHeader("content-length", Integer.toString(call.body().length()));
            BufferAllocator allocator = client.executionContext().bufferAllocator();
            request.payloadBody(
                    Publisher.fromIterable(BodyBuffers.wrap(call.body(), allocator))
                            .beforeOnComplete(onBodyWritten));
        } else if (METHODS_WITH_BODY.contains(call.method())) {
            request.setHeader("content-length", "0");
        }
        return request;
    }

    private static void requirePrintable(String text, char highestForbidden) {
        boolean tabsAllowed = highestForbidden == HIGHEST_CONTROL_CHARACTER;
        boolean forbidden =
                text.chars()
                        .anyMatch(
                                c ->
                                        c == DELETE_CHARACTER
                                                || c <= highestForbidden
                                                        && !(tabsAllowed && c == '\t'));
        if (forbidden) {
            throw new IllegalArgumentException(
                    "the target or a header contains a control character or blank");
        }
    }
}
