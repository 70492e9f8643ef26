package org.tarragonlug.instance;

import java.time.Instant;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.plainservice.ServiceReport;

/** Observer of what backend servers report. */
interface ReportListener {
    /** A model engine reported; it was asked at the given time. */
    void engineReported(ServerReport report, Instant askedAt);

    /** A server of a plain service reported; it was asked at the given time. */
    void serviceReported(ServiceReport report, Instant askedAt);

    /** A server did not answer over a new connection. */
    void unreachable(ServerId server);

    /**
     * Called when a server refused a new connection, so that nothing listens there any more; the
     * process that did is lost.
     */
    default void refusedConnection(ServerId server) {
        unreachable(server);
    }
}
