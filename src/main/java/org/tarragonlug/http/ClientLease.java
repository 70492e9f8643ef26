package org.tarragonlug.http;

import io.servicetalk.http.api.StreamingHttpClient;

/** The use of an HTTP client by one call. */
interface ClientLease {
    /** Returns the client, which may be used until {@link #release}. */
    StreamingHttpClient client();

    /** Ends the use of the client by this call. */
    void release();

    /**
     * Removes the client from the pool, so that no later call uses its connections. Called when one
     * of them has become silent, because the others may be silent too.
     */
    void retire();
}
