package org.tarragonlug.standin;

import java.net.SocketAddress;
import java.util.List;
import java.util.Map;

/**
 * An HTTP request to a stand-in.
 *
 * @param method HTTP method
 * @param path decoded segments of the path
 * @param query first value of each query parameter
 * @param headers request headers with their names in lower case
 * @param body the complete body
 * @param connection the remote address, which identifies the connection
 * @param closeConnection closes the connection without an answer
 */
record StandInRequest(
        String method,
        List<String> path,
        Map<String, String> query,
        Map<String, String> headers,
        byte[] body,
        SocketAddress connection,
        Runnable closeConnection) {
    boolean matches(String expectedMethod, String firstSegment, int segments) {
        return method.equals(expectedMethod)
                && path.size() == segments
                && path.get(0).equals(firstSegment);
    }
}
