package org.tarragonlug.http;

import io.servicetalk.http.api.StreamingHttpClient;
import java.time.Duration;

/** The use of an HTTP client by one call. */
interface ClientLease {
    /** Age below which a client is not replaced because one of its connections seems silent. */
    Duration MIN_AGE = Duration.ofSeconds(3);

    /** Returns the client, which may be used until {@link #release}. */
    StreamingHttpClient client();

    /** Ends the use of the client by this call. */
    void release();

    /**
     * Stops the pooling of the connections of the client, because a call on one of them timed out.
     * Later calls use a new client.
     */
    void retire();

    /**
     * Does the same as {@link #retire}, because a connection may have become silent. Has no effect
     * on a client that is not older than {@link #MIN_AGE}: a server that answers some requests and
     * not others would otherwise be sent each request on a new connection.
     */
    void retireAsSilent();
}
