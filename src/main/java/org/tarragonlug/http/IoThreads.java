package org.tarragonlug.http;

import io.netty.channel.EventLoopGroup;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Creates the I/O executor that all clients and servers of a process share.
 *
 * <p>ServiceTalk 0.42 has no public factory for such an executor. Only this class uses the internal
 * package of the library.
 */
public final class IoThreads {
    private IoThreads() {}

    /**
     * Creates an executor.
     *
     * @param threads number of I/O threads
     * @return the executor, which the calling code must close
     */
    public static IoExecutor create(int threads) {
        return NettyIoExecutors.createIoExecutor(threads, "tarragonlug-io");
    }

    /**
     * Returns the scheduled executor that runs its tasks on the I/O threads of an executor.
     *
     * @param executor an executor created by {@link #create}
     */
    public static ScheduledExecutorService timers(IoExecutor executor) {
        return eventLoops(executor);
    }

    /**
     * Returns the event loops of an executor, for use by connections other than HTTP.
     *
     * @param executor an executor created by {@link #create}
     */
    public static EventLoopGroup eventLoops(IoExecutor executor) {
        return ((EventLoopAwareNettyIoExecutor) executor).eventLoopGroup();
    }
}
