package org.tarragonlug.plainservice;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.id.ServerId;

/** Client for plain services. */
public interface PlainServiceClient {
    /** Makes a call, which is sent at most once. */
    void call(InetSocketAddress address, ServiceCall call, ServiceListener listener);

    /**
     * Fetches the report of a server over a new connection.
     *
     * @return the report; fails with {@code BACKEND_UNREACHABLE} if it cannot be fetched
     */
    CompletionStage<ServiceReport> report(ServerId server, InetSocketAddress address);
}
