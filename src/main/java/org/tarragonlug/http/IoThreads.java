package org.tarragonlug.http;

import io.netty.channel.EventLoopGroup;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Creates the I/O executor that all clients and servers of a process share.
 *
 * <p>Release 0.42 of ServiceTalk publishes no other factory for it; only this class uses the
 * library's internal package.
 */
public final class IoThreads {
    private IoThreads() {}

    /**
     * Creates an executor.
     *
     * @param threads number of I/O threads
     * @return the executor; the caller closes it
     */
    public static IoExecutor create(int threads) {
        return NettyIoExecutors.createIoExecutor(threads, "tarragonlug-io");
    }

    /**
     * Returns the timers of an executor, which run on its I/O threads.
     *
     * @param executor made by {@link #create}
     */
    public static ScheduledExecutorService timers(IoExecutor executor) {
        return eventLoops(executor);
    }

    /**
     * Returns the event loops of an executor, for connections that are not HTTP.
     *
     * @param executor made by {@link #create}
     */
    public static EventLoopGroup eventLoops(IoExecutor executor) {
        return ((EventLoopAwareNettyIoExecutor) executor).eventLoopGroup();
    }
}
