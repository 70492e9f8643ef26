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
 * The thread on which a transport runs, and the kinds of channel that fit it.
 *
 * <p>A process whose state lives on one event loop shares that loop: a message then crosses no
 * thread, which saves two wake-ups a message.
 */
public final class PeerThreads {
    private final EventLoopGroup group;
    private final boolean dedicated;

    private PeerThreads(EventLoopGroup group, boolean dedicated) {
        this.group = group;
        this.dedicated = dedicated;
    }

    /** Creates a thread that ends with its transport. */
    public static PeerThreads dedicated() {
        return new PeerThreads(
                new NioEventLoopGroup(1, new DefaultThreadFactory("peer", true)), true);
    }

    /**
     * Uses an event loop that others own.
     *
     * @param group a group of one thread
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

    /** Ends the thread if it belongs to the transport. */
    void close(long stopMillis) {
        if (dedicated) {
            group.shutdownGracefully(0, stopMillis, TimeUnit.MILLISECONDS)
                    .awaitUninterruptibly(stopMillis);
        }
    }
}
