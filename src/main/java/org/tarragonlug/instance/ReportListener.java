package org.tarragonlug.instance;

import java.time.Instant;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.plainservice.ServiceReport;

/** Listener for the reports of backend servers. */
interface ReportListener {
    /** Called with the report of a model engine that was requested at the given time. */
    void onEngineReport(ServerReport report, Instant askedAt);

    /** Called with the report of a plain service's server that was requested at the given time. */
    void onServiceReport(ServiceReport report, Instant askedAt);

    /**
     * Called when a server has not answered the request for its report, which is sent over a new
     * connection.
     *
     * @param server id of the server
     * @param connectionRefused whether the connection was refused, which means that the server's
     *     process has ended
     */
    void onUnreachable(ServerId server, boolean connectionRefused);
}
