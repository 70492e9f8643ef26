package org.tarragonlug.peer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * The thread on which a transport runs, with the channel types that match its event loop.
 *
 * <p>A process that keeps its state on one event loop shares this loop with its transport. A
 * message is then processed without a change of thread, which saves two thread wake-ups for each
 * message.
 */
public final class PeerThreads {
    private final EventLoopGroup group;
    private final boolean dedicated;

    private PeerThreads(EventLoopGroup group, boolean dedicated) {
        this.group = group;
        this.dedicated = dedicated;
    }

    /** Creates a thread for one transport, which ends when the transport is closed. */
    public static PeerThreads dedicated() {
        return new PeerThreads(
                new NioEventLoopGroup(1, new DefaultThreadFactory("peer", true)), true);
    }

    /**
     * Uses an existing event loop, which the transport does not end.
     *
     * @param group a group with one thread
     */
    public static PeerThreads shared(EventLoopGroup group) {
        return new PeerThreads(group, false);
    }

    EventLoopGroup group() {
        return group;
    }

    private boolean isEpoll() {
        return group instanceof EpollEventLoopGroup;
    }

    Class<? extends ServerChannel> serverChannel() {
        return isEpoll() ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    Class<? extends Channel> channel() {
        return isEpoll() ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /** Ends the thread if it is dedicated to the transport, and waits for its end. */
    void close(long stopMillis) {
        if (dedicated) {
            group.shutdownGracefully(0, stopMillis, TimeUnit.MILLISECONDS)
                    .awaitUninterruptibly(stopMillis);
        }
    }
}
