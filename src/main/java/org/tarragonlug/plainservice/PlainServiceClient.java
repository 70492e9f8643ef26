package org.tarragonlug.plainservice;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.id.ServerId;

/** Talks to plain services. */
public interface PlainServiceClient {
    /** Makes a call; it is sent at most once. */
    void call(InetSocketAddress address, ServiceCall call, ServiceListener listener);

    /** Fetches the server's report over a new connection; fails with BACKEND_UNREACHABLE. */
    CompletionStage<ServiceReport> report(ServerId server, InetSocketAddress address);
}
