package org.tarragonlug.http;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServerContext;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;

/** Waits until an HTTP server listens. */
public final class ServerStart {
    private ServerStart() {}

    /**
     * Starts a server and waits for it.
     *
     * @param server the server; it starts when this is called
     * @param address where it is to listen, for the error
     * @return the listening server
     * @throws TarragonlugException {@code ADDRESS_IN_USE} if the address cannot be bound
     */
    public static HttpServerContext await(
            Single<HttpServerContext> server, InetSocketAddress address)
            throws TarragonlugException {
        try {
            return server.toFuture().get();
        } catch (ExecutionException failure) {
            throw new TarragonlugException(
                    ErrorCode.ADDRESS_IN_USE, address.toString(), failure.getCause());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new TarragonlugException(ErrorCode.INTERNAL, "interrupted while starting");
        }
    }
}
