package org.tarragonlug.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Limits the bytes and lines of a connection that the HTTP library collects without passing on a
 * part of a request.
 *
 * <p>The library limits the length of a single line only. It collects any number of header lines or
 * trailer lines, so a caller that sends them without end would exhaust the memory of the process.
 * This handler is the first of the connection and counts what it passes on; {@link ConnectionGuard}
 * behind the decoder reports each decoded part, which resets the counts. A limit is therefore
 * independent of the number and size of requests on the connection.
 */
final class UndecodedBytes extends ChannelInboundHandlerAdapter {
    static final String NAME = "undecoded-bytes";

    /** Bytes of the largest head, or of the largest trailer section. */
    private static final int MAX_BYTES = 64 * 1024;

    /** Each line becomes an object of several hundred bytes. */
    private static final int MAX_LINES = 256;

    /** Number of bytes that are passed to the decoder at a time. */
    private static final int SLICE = 4 * 1024;

    private static final byte LINE_FEED = '\n';

    private int bytes;
    private int lines;
    private boolean closed;

    /** Records that the decoder passed on a part of a request. */
    void onDecoded() {
        bytes = 0;
        lines = 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf received = (ByteBuf) message;
        try {
            while (received.isReadable() && !closed) {
                int size = Math.min(SLICE, received.readableBytes());
                pass(context, received.readRetainedSlice(size));
            }
        } finally {
            received.release();
        }
    }

    private void pass(ChannelHandlerContext context, ByteBuf slice) {
        bytes += slice.readableBytes();
        slice.forEachByte(
                value -> {
                    lines += value == LINE_FEED ? 1 : 0;
                    return true;
                });
        // The decoder reports the parts that the slice completes before this call returns.
        context.fireChannelRead(slice);
        if (bytes > MAX_BYTES || lines > MAX_LINES) {
            closed = true;
            String detail =
                    "a head or trailer section exceeds "
                            + MAX_BYTES
                            + " bytes or "
                            + MAX_LINES
                            + " lines";
            context.pipeline().fireExceptionCaught(new TooLongFrameException(detail));
            context.close();
        }
    }
}
