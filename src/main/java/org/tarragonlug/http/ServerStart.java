package org.tarragonlug.http;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServerContext;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;

/** Starts HTTP servers and waits until they listen. */
public final class ServerStart {
    private ServerStart() {}

    /**
     * Starts a server and blocks until it listens.
     *
     * @param server the server, which starts when this method subscribes to it
     * @param address the address on which the server is to listen; used in the error message only
     * @return the listening server
     * @throws TarragonlugException {@code ADDRESS_IN_USE} if the address cannot be bound, {@code
     *     INTERNAL} if the thread is interrupted
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
            throw new TarragonlugException(
                    ErrorCode.INTERNAL,
                    "interrupted while the server on " + address + " was starting");
        }
    }
}
