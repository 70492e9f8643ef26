package org.tarragonlug.instance;

import java.time.Instant;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.plainservice.ServiceReport;

/** Observer of what backend servers report. */
interface ReportListener {
    /** A model engine reported; it was asked at the given time. */
    void onEngineReport(ServerReport report, Instant askedAt);

    /** A server of a plain service reported; it was asked at the given time. */
    void onServiceReport(ServiceReport report, Instant askedAt);

    /**
     * A server did not answer over a new connection.
     *
     * @param server the server
     * @param connectionRefused whether the connection was refused, which means that its process is gone
     */
    void onUnreachable(ServerId server, boolean connectionRefused);
}
