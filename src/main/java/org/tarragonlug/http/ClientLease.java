package org.tarragonlug.http;

import io.servicetalk.http.api.StreamingHttpClient;

/** Use of a client by one call. */
interface ClientLease {
    /** Returns the client. */
    StreamingHttpClient client();

    /** Ends the use. */
    void release();

    /** Ends pooling of the client's connections, because one of them became silent. */
    void retire();
}
