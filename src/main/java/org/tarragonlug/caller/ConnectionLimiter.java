package org.tarragonlug.caller;

import io.netty.channel.Channel;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.LateConnectionAcceptor;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Refuses connections above the limit, so that idle callers cannot exhaust the process, and
 * installs a {@link ConnectionGuard} on the others.
 *
 * <p>Connections are counted by their channels, because the library's transport observer does not
 * report the end of all of them.
 */
final class ConnectionLimiter implements LateConnectionAcceptor {
    private final int limit;
    private final AtomicInteger open = new AtomicInteger();

    ConnectionLimiter(int limit) {
        this.limit = limit;
    }

    // The method that replaces it still requires this one to be implemented.
    @SuppressWarnings("deprecation")
    @Override
    public Completable accept(ConnectionInfo connection) {
        if (!(connection instanceof NettyConnectionContext context)) {
            return Completable.failed(new IllegalStateException("unexpected kind of connection"));
        }
        if (open.incrementAndGet() > limit) {
            open.decrementAndGet();
            return Completable.failed(new IllegalStateException("too many connections"));
        }
        Channel channel = context.nettyChannel();
        channel.closeFuture().addListener(closed -> open.decrementAndGet());
        ConnectionGuard.install(channel);
        return Completable.completed();
    }
}
