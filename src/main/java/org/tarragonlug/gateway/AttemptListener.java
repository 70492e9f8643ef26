package org.tarragonlug.gateway;

import java.util.Optional;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;

/** Observer of one attempt at a server, on the event loop. */
interface AttemptListener {
    /** The server did not run the request. */
    void onRejected(Rejection rejection, Optional<ReportedLoad> load);

    /** A stream has begun. */
    void onStreamStarted(java.util.Map<String, String> headers, Optional<ReportedLoad> load);

    /** A whole event of a stream. */
    void onStreamEvent(byte[] bytes, long id);

    /**
     * The answer is complete.
     *
     * @param status HTTP status
     * @param headers headers of the answer
     * @param body the whole body; empty for a stream
     * @param load load that the server stated
     */
    void onAnswered(
            int status,
            java.util.Map<String, String> headers,
            byte[] body,
            Optional<ReportedLoad> load);

    /** The answer broke, is invalid or belongs to another request; the request may have run. */
    void onBroken(String detail);
}
