package org.tarragonlug.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tarragonlug.error.ErrorCode;

/**
 * Detects what the HTTP library does not report of a connection: the caller closes it while its
 * request is waiting, the received bytes are not HTTP, and bytes of an answer are still to be sent.
 *
 * <p>The library takes more of an answer than the operating system does. The body of an answer may
 * therefore end for the library while the caller still waits for its last bytes.
 *
 * <p>The library resets a connection whose bytes it cannot decode. The guard sends an error status
 * first, so that the caller gets the reason. A caller that closes only its sending side is treated
 * as disconnected, as HTTP servers commonly do, because this case cannot be distinguished in time
 * from a connection that is closed in both directions.
 */
final class ConnectionGuard extends ChannelDuplexHandler {
    private static final String NAME = "caller-connection-guard";

    /**
     * Part of the library's message for a line that exceeds the limit. The library has no exception
     * type for this case.
     */
    private static final String LINE_TOO_LONG = "Could not find CRLF";

    private final Set<Runnable> closeActions = ConcurrentHashMap.newKeySet();
    private final Channel channel;
    private final UndecodedBytes undecodedBytes;
    private volatile boolean closed;
    private boolean answerBegun;

    private ConnectionGuard(Channel channel, UndecodedBytes undecodedBytes) {
        this.channel = channel;
        this.undecodedBytes = undecodedBytes;
    }

    /** Installs a guard before the last handler of the library, and returns it. */
    static ConnectionGuard install(Channel channel) {
        String last = channel.pipeline().lastContext().name();
        UndecodedBytes undecodedBytes = new UndecodedBytes();
        channel.pipeline().addFirst(UndecodedBytes.NAME, undecodedBytes);
        ConnectionGuard guard = new ConnectionGuard(channel, undecodedBytes);
        channel.pipeline().addBefore(last, NAME, guard);
        return guard;
    }

    /** Returns the guard of a connection; empty if the connection has none. */
    static Optional<ConnectionGuard> of(ConnectionInfo connection) {
        if (connection instanceof NettyConnectionContext context) {
            return Optional.ofNullable(
                    (ConnectionGuard) context.nettyChannel().pipeline().get(NAME));
        }
        return Optional.empty();
    }

    /**
     * Adds an action that runs once when the caller closes the connection. If the connection is
     * already closed, the action runs at once.
     */
    void add(Runnable action) {
        closeActions.add(action);
        if (closed && closeActions.remove(action)) {
            action.run();
        }
    }

    /** Removes an action that is no longer needed, because its request has ended. */
    void remove(Runnable action) {
        closeActions.remove(action);
    }

    /**
     * Returns whether the operating system has not taken all bytes of an answer. Must be called on
     * the I/O thread of the connection.
     */
    boolean isSending() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        boolean canSend = unsent != null;
        return canSend && (answerBegun || unsent.totalPendingWriteBytes() > 0);
    }

    private void onCallerClosed() {
        closed = true;
        for (Runnable action : closeActions) {
            if (closeActions.remove(action)) {
                action.run();
            }
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        // The library ends each answer with the trailing headers, which may be empty.
        answerBegun = !(message instanceof HttpHeaders);
        super.write(context, message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        undecodedBytes.onDecoded();
        super.channelRead(context, message);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent
                || event instanceof ChannelInputShutdownReadComplete) {
            boolean requestOpen = !closeActions.isEmpty();
            onCallerClosed();
            if (requestOpen) {
                // Nobody reads the answer, so the connection would stay half open forever.
                context.close();
            }
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        onCallerClosed();
        super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        if (cause instanceof DecoderException && closeActions.isEmpty()) {
            // The bytes are written from the head of the pipeline, because the library's
            // encoder accepts only message objects.
            context.pipeline()
                    .firstContext()
                    .writeAndFlush(malformedAnswer(cause))
                    .addListener(ChannelFutureListener.CLOSE);
            return;
        }
        super.exceptionCaught(context, cause);
    }

    private static ByteBuf malformedAnswer(Throwable cause) {
        boolean tooLong =
                cause instanceof TooLongFrameException
                        || String.valueOf(cause.getMessage()).contains(LINE_TOO_LONG);
        ErrorCode code = tooLong ? ErrorCode.HEADERS_TOO_LARGE : ErrorCode.BAD_REQUEST;
        String body =
                "{\"error\":{\"code\":\""
                        + code.code()
                        + "\",\"message\":\""
                        + code.message("the bytes received are not a valid HTTP request")
                        + "\",\"execution\":\"not_run\"}}";
        String answer =
                "HTTP/1.1 "
                        + code.status()
                        + " \r\ncontent-type: application/json\r\nconnection: close\r\n"
                        + "content-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        return Unpooled.copiedBuffer(answer, StandardCharsets.US_ASCII);
    }
}
