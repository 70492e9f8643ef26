package org.tarragonlug.http;

import io.servicetalk.http.api.StreamingHttpClient;

/** The use of an HTTP client by one call. */
interface ClientLease {
    /** Returns the client, which may be used until {@link #release}. */
    StreamingHttpClient client();

    /** Ends the use of the client by this call. */
    void release();

    /**
     * Stops the pooling of the connections of the client, because one of them has become silent.
     * Later calls use a new client.
     */
    void retire();
}
