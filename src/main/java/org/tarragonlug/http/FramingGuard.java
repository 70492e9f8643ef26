package org.tarragonlug.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.function.Consumer;

/**
 * Limits what a server may send on a connection beside the body of its answer.
 *
 * <p>The HTTP library limits the length of a single line, but collects any number of header lines,
 * trailer lines and interim answers, so a server that sends them without end would exhaust the
 * memory of the process. The guard is the first handler of the connection and counts all received
 * bytes. Before the head is complete, the bytes and the line ends are limited directly. After it,
 * the call tells the guard which bytes were body; the remaining bytes are chunk sizes, line ends
 * and trailers, which may grow only with the number of body parts.
 *
 * <p>When a limit is exceeded, the guard discards the bytes, closes the connection and reports the
 * excess to the call in progress. Bytes that arrive while no call is in progress belong to no
 * request and close the connection as well. The guard does not limit the body itself; {@link
 * HttpExchange} does.
 *
 * <p>All methods must be called on the event loop of the connection, except for {@link #begin}. The
 * call sends its request after {@link #begin}, so the event loop sees the effects of that method.
 */
final class FramingGuard extends ChannelInboundHandlerAdapter {
    private static final String NAME = "framing-guard";

    /** Number of bytes that are passed to the decoder at a time. */
    private static final int SLICE = 4 * 1024;

    private static final byte LINE_FEED = '\n';

    /** What the server may send next. */
    private enum Phase {
        /** No call is in progress, so the server must not send anything. */
        IDLE,
        HEAD,
        /** Body, chunk sizes and trailers. */
        BODY,
        CLOSED
    }

    private final FramingLimits limits;
    private Phase phase = Phase.IDLE;
    private Consumer<String> excessAction = detail -> {};
    private long headBytes;
    private int headLines;
    private long bytesAfterHead;
    private long bodyBytes;
    private long allowedFramingBytes;
    private int calls;

    private FramingGuard(FramingLimits limits) {
        this.limits = limits;
    }

    /** Returns the guard of a connection and installs it first if the connection has none. */
    static FramingGuard of(ConnectionInfo connection, FramingLimits limits) {
        Channel channel = ((NettyConnectionContext) connection).nettyChannel();
        FramingGuard guard = (FramingGuard) channel.pipeline().get(NAME);
        if (guard == null) {
            guard = new FramingGuard(limits);
            channel.pipeline().addFirst(NAME, guard);
        }
        return guard;
    }

    /**
     * Prepares the guard for the answer to a new call.
     *
     * @param action receives a description of the exceeded limit
     */
    void begin(Consumer<String> action) {
        phase = Phase.HEAD;
        calls++;
        excessAction = action;
        headBytes = 0;
        headLines = 0;
        bytesAfterHead = 0;
        bodyBytes = 0;
        allowedFramingBytes = limits.trailerBytes();
    }

    /** Returns whether the present call is the first one on the connection. */
    boolean isFirstCall() {
        return calls == 1;
    }

    /** Records that the head of the answer is complete. */
    void onHeadReceived() {
        phase = Phase.BODY;
    }

    /** Records that a part of the body was received. */
    void onBodyPart(int bytes) {
        bodyBytes += bytes;
        allowedFramingBytes += FramingLimits.BYTES_PER_CHUNK;
    }

    /** Records that the answer is complete. */
    void end() {
        phase = Phase.IDLE;
        excessAction = detail -> {};
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            // The limits are checked after each slice, so a limit is exceeded by one slice at most.
            while (bytes.isReadable() && phase != Phase.CLOSED) {
                pass(context, bytes.readRetainedSlice(Math.min(SLICE, bytes.readableBytes())));
            }
        } finally {
            bytes.release();
        }
    }

    private void pass(ChannelHandlerContext context, ByteBuf slice) {
        int size = slice.readableBytes();
        if (phase == Phase.IDLE) {
            slice.release();
            close(context, "the server sent bytes that belong to no request");
            return;
        }
        if (phase == Phase.HEAD) {
            headBytes += size;
            headLines += countLines(slice);
        } else {
            bytesAfterHead += size;
        }
        // The decoder reports the head and the body parts that the slice completes, before this
        // call returns.
        context.fireChannelRead(slice);
        checkLimits(context);
    }

    private static int countLines(ByteBuf slice) {
        int[] lines = new int[1];
        slice.forEachByte(
                value -> {
                    lines[0] += value == LINE_FEED ? 1 : 0;
                    return true;
                });
        return lines[0];
    }

    private void checkLimits(ChannelHandlerContext context) {
        if (phase == Phase.HEAD && headBytes > limits.headBytes()) {
            close(context, "the head of the answer exceeds " + limits.headBytes() + " bytes");
        } else if (phase == Phase.HEAD && headLines > limits.headLines()) {
            close(context, "the head of the answer exceeds " + limits.headLines() + " lines");
        } else if (phase == Phase.BODY && bytesAfterHead - bodyBytes > allowedFramingBytes) {
            close(context, "the trailers exceed " + limits.trailerBytes() + " bytes");
        }
    }

    private void close(ChannelHandlerContext context, String detail) {
        Consumer<String> action = excessAction;
        end();
        phase = Phase.CLOSED;
        action.accept(detail);
        context.close();
    }
}
