package org.tarragonlug.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether an answer that ends with its connection is whole.
 *
 * <p>A server that gives up while a request is still being written to it may end its connection in
 * order first, and reset it then. To a reader the end looks the same as that of a whole answer: if
 * a write meets the reset, later reads report an orderly end. An answer therefore counts as whole
 * only when the server has received the whole request and the connection has not been reset.
 *
 * <p>What has been received is asked of the operating system, as far as the transport allows. It
 * does not tell of bytes that it has not sent because the server reads nothing, so it is given few
 * bytes in advance. What it has delivered counts as received, even if the server never reads it.
 */
final class ConnectionEnd {
    /** Time between two checks. A reset mostly follows the end of the connection at once. */
    private static final Duration CHECK_PERIOD = Duration.ofMillis(3);

    /** Time after the end of the connection in which the server must receive the rest. */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(250);

    /** Bytes that the operating system accepts before it can send them. */
    private static final int MAX_UNSENT_BYTES = 16 * 1024;

    /** The state of a connection in Linux after a reset ({@code TCP_CLOSE}). */
    private static final int CLOSED_STATE = 7;

    private final Channel channel;
    private volatile boolean requestWritten;

    ConnectionEnd(Channel channel) {
        this.channel = channel;
        if (channel instanceof EpollSocketChannel socket) {
            socket.config().setTcpNotSentLowAt(MAX_UNSENT_BYTES);
        }
    }

    /** Prepares for the next request. */
    void startRequest() {
        requestWritten = false;
    }

    /** Records that the whole request has been handed to the connection. */
    void onRequestWritten() {
        requestWritten = true;
    }

    /**
     * Decides on the answer that ends with the connection. Must be called on the event loop when
     * the server has ended the connection; one of the actions runs there later, unless the
     * connection is closed before.
     */
    void decide(Runnable whole, Runnable part) {
        scheduleCheck(whole, part, System.nanoTime() + LONGEST_WAIT.toNanos());
    }

    private void scheduleCheck(Runnable whole, Runnable part, long deadlineNanos) {
        channel.eventLoop()
                .schedule(
                        () -> check(whole, part, deadlineNanos),
                        CHECK_PERIOD.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void check(Runnable whole, Runnable part, long deadlineNanos) {
        if (!channel.isOpen()) {
            return;
        }
        if (isReset()) {
            part.run();
        } else if (isRequestReceived()) {
            whole.run();
        } else if (System.nanoTime() - deadlineNanos > 0) {
            part.run();
        } else {
            scheduleCheck(whole, part, deadlineNanos);
        }
    }

    private boolean isReset() {
        // There is no buffer after a failed write.
        if (channel.unsafe().outboundBuffer() == null) {
            return true;
        }
        try {
            return channel instanceof EpollSocketChannel socket
                    && socket.tcpInfo().state() == CLOSED_STATE;
        } catch (ChannelException closed) {
            return true;
        }
    }

    private boolean isRequestReceived() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        boolean sent = requestWritten && buffer.totalPendingWriteBytes() == 0;
        if (!sent || !(channel instanceof EpollSocketChannel socket)) {
            return sent;
        }
        EpollTcpInfo state = socket.tcpInfo();
        return state.unacked() == 0;
    }
}
