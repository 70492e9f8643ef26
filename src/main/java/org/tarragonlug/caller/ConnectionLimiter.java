package org.tarragonlug.caller;

import io.netty.channel.Channel;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.transport.api.ConnectExecutionStrategy;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.LateConnectionAcceptor;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Refuses connections above a limit, so that idle callers cannot exhaust the resources of the
 * process. Installs a {@link ConnectionGuard} on each accepted connection.
 *
 * <p>Connections count in the order in which they come. The library's default would have a pool of
 * threads run this code for each connection, in any order, and would keep a thread for each
 * connection of a burst.
 *
 * <p>The count is decremented when the channel of a connection closes. The library's transport
 * observer is not used, because it does not report the end of every connection.
 */
final class ConnectionLimiter implements LateConnectionAcceptor {
    private final int limit;
    private final AtomicInteger open = new AtomicInteger();
    private final Set<ConnectionGuard> guards = ConcurrentHashMap.newKeySet();

    ConnectionLimiter(int limit) {
        this.limit = limit;
    }

    @Override
    public ConnectExecutionStrategy requiredOffloads() {
        return ConnectExecutionStrategy.offloadNone();
    }

    // The method that replaces this deprecated one still requires it to be implemented.
    @SuppressWarnings("deprecation")
    @Override
    public Completable accept(ConnectionInfo connection) {
        if (!(connection instanceof NettyConnectionContext context)) {
            return Completable.failed(
                    new IllegalStateException(
                            "connection is not a Netty connection: " + connection));
        }
        if (open.incrementAndGet() > limit) {
            open.decrementAndGet();
            return Completable.failed(
                    new IllegalStateException("connection limit of " + limit + " reached"));
        }
        Channel channel = context.nettyChannel();
        ConnectionGuard guard = ConnectionGuard.install(channel);
        guards.add(guard);
        channel.closeFuture()
                .addListener(
                        closed -> {
                            open.decrementAndGet();
                            guards.remove(guard);
                        });
        return Completable.completed();
    }

    /**
     * Returns the number of connections on which bytes of an answer are still to be sent. Must be
     * called on the I/O thread of the connections.
     */
    int sendingCount() {
        return (int) guards.stream().filter(ConnectionGuard::isSending).count();
    }
}
