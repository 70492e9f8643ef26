package org.tarragonlug.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Limits what a server may send on a connection beside the body of its answer, and keeps the bytes
 * after an answer from the next one.
 *
 * <p>The HTTP library limits the length of a single line, but collects any number of header lines,
 * trailer lines and interim answers, so a server that sends them without end would exhaust the
 * memory of the process. The guard is the first handler of the connection and counts all received
 * bytes. Before the head is complete, the bytes and the line ends are limited directly. After it,
 * the call tells the guard which bytes were body; the remaining bytes are chunk sizes, line ends
 * and trailers, which may grow only with the number of body parts.
 *
 * <p>When a limit is exceeded, the guard discards the bytes, closes the connection and reports the
 * excess to the call in progress. The guard does not limit the body itself; {@link HttpExchange}
 * does.
 *
 * <p>Bytes after the end of an answer belong to no request. They are never handed to the library
 * ({@link AnswerFraming}): if they were received together with the end of the answer, the
 * connection is not used again, and if they are read while no call is in progress, they close it.
 * The library may leave them unread until the next request on the connection. What is read when the
 * next request has already been sent may therefore be late as well:
 *
 * <ul>
 *   <li>A whole answer that names another call is skipped, and the call gets the answer behind it
 *       ({@link AnswerFilter}). On a new connection no answer can be late, so none is skipped.
 *   <li>An answer that names no call, or bytes that are none, can not be told from the beginning of
 *       the call's own answer; the call must then check that the answer names it.
 *   <li>If the bytes end within a line, the answer's own head continues that line, which the guard
 *       recognises.
 * </ul>
 *
 * <p>An answer that names the call and is late all the same would be the answer to an earlier send
 * of the call, so a connection never carries the same call twice ({@link #mayCarry}).
 *
 * <p>The end of a connection that ends an answer is held back from the library until it is known
 * whether the answer is whole ({@link ConnectionEnd}).
 *
 * <p>All methods must be called on the event loop of the connection, except for {@link #mayCarry},
 * {@link #localPort} and {@link #begin}, which the call uses after it has reserved the connection
 * and before it sends its request, so the event loop sees their effects.
 */
final class FramingGuard extends ChannelInboundHandlerAdapter {
    private static final String NAME = "framing-guard";

    /** Largest number of bytes that are handed to the library at a time. */
    private static final int SLICE = 4 * 1024;

    private static final byte LINE_FEED = '\n';

    /** What the server may send next. */
    private enum Phase {
        /** No call is in progress, so the server must not send anything. */
        IDLE,
        HEAD,
        /** The body of a late answer to another call. */
        SKIPPED_BODY,
        /** Body, chunk sizes and trailers. */
        BODY,
        /** The answer is complete, but the call still follows what comes after it. */
        AFTER_END,
        CLOSED
    }

    private static final BiConsumer<HttpFailure.Kind, String> NO_ACTION = (kind, detail) -> {};
    private static final Consumer<byte[]> NO_AFTER_END_ACTION = bytes -> {};

    private final Channel channel;
    private final FramingLimits limits;
    private final Consumer<LateAnswer> lateAnswers;
    private final AnswerFraming framing = new AnswerFraming();
    private final AnswerFilter filter = new AnswerFilter();
    private final ConnectionEnd connectionEnd;

    /** Events of the end of the connection that are held back; empty if it has not ended. */
    private final List<Object> heldEvents = new ArrayList<>();

    private Phase phase = Phase.IDLE;
    private BiConsumer<HttpFailure.Kind, String> violationAction = NO_ACTION;

    private Consumer<byte[]> afterEndAction = NO_AFTER_END_ACTION;

    /** Bytes of the present read that have not been handed to the library. */
    private int unreadBytes;

    /** Whether bytes that belong to no request were received together with the end of an answer. */
    private boolean bytesAfterEnd;

    /** Header by which the answer to the last call names it; empty if it names none. */
    private String nameHeader = "";

    private long headBytes;
    private int headLines;
    private long bytesAfterHead;
    private long bodyBytes;
    private long allowedFramingBytes;
    private final CarriedCalls carriedCalls = new CarriedCalls();

    private FramingGuard(Channel channel, FramingLimits limits, Consumer<LateAnswer> lateAnswers) {
        this.channel = channel;
        this.connectionEnd = new ConnectionEnd(channel);
        this.limits = limits;
        this.lateAnswers = lateAnswers;
    }

    /**
     * Returns the guard of a connection and installs it first if the connection has none.
     *
     * @param connection the connection
     * @param limits what the server may send
     * @param lateAnswers receives answers to named calls that come while no call is in progress
     */
    static FramingGuard of(
            ConnectionInfo connection, FramingLimits limits, Consumer<LateAnswer> lateAnswers) {
        Channel channel = ((NettyConnectionContext) connection).nettyChannel();
        FramingGuard guard = (FramingGuard) channel.pipeline().get(NAME);
        if (guard == null) {
            guard = new FramingGuard(channel, limits, lateAnswers);
            channel.pipeline().addFirst(NAME, guard);
        }
        return guard;
    }

    /**
     * Prepares the guard for the answer to a new call.
     *
     * @param name by what the answer names the call; empty if it names none
     * @param skippedAction receives late answers to other calls, which are skipped
     * @param action receives the kind and a description of what the server may not send
     * @return the number of calls that the connection has carried before
     */
    int begin(
            Optional<AnswerName> name,
            Consumer<SkippedAnswer> skippedAction,
            BiConsumer<HttpFailure.Kind, String> action) {
        int earlierCalls = carriedCalls.count();
        carriedCalls.add(name);
        nameHeader = name.map(AnswerName::header).orElse("");
        violationAction = action;
        filter.begin(earlierCalls == 0 ? Optional.empty() : name, skippedAction);
        connectionEnd.startRequest();
        startHead();
        bytesAfterHead = 0;
        bodyBytes = 0;
        allowedFramingBytes = limits.trailerBytes();
        return earlierCalls;
    }

    /** Records that the whole request of the call has been handed to the connection. */
    void onRequestWritten() {
        connectionEnd.onRequestWritten();
    }

    /**
     * Returns whether a call may be sent on this connection. If it has carried a call of the same
     * name, a late answer to that one could not be told from the answer to this one.
     */
    boolean mayCarry(Optional<AnswerName> name) {
        return !carriedCalls.mayContain(name);
    }

    /** Returns the local port of the connection; 0 if it has none. */
    int localPort() {
        return channel.localAddress() instanceof InetSocketAddress address ? address.getPort() : 0;
    }

    private void startHead() {
        phase = Phase.HEAD;
        framing.startHead();
        headBytes = 0;
        headLines = 0;
    }

    /**
     * Records that the head of the answer is complete.
     *
     * @param end how the end of the body is found
     * @param length length of the body in bytes, if the end is found by it
     */
    void onHeadReceived(AnswerFraming.BodyEnd end, long length) {
        phase = Phase.BODY;
        framing.startBody(end, length);
    }

    /**
     * Records that the head of the answer is complete, and finds the end of the body from its
     * headers, which are empty if absent.
     */
    void onHeadReceived(int status, String transferEncoding, String contentLength) {
        phase = Phase.BODY;
        framing.startBody(status, transferEncoding, contentLength);
    }

    /** Returns whether the body of the answer ends when the connection is closed. */
    boolean bodyEndsWithConnection() {
        return framing.endsWithConnection();
    }

    /** Records that a part of the body was received. */
    void onBodyPart(int bytes) {
        bodyBytes += bytes;
        allowedFramingBytes += FramingLimits.BYTES_PER_CHUNK;
    }

    /**
     * Hands the bytes after a complete answer to an action until {@link #end} is called.
     *
     * @param action receives the bytes
     * @param wait time after which the answer is to end; not waited for on a closed connection
     * @param onWaited ends the answer; called even if it has ended before
     */
    void followBytesAfterEnd(Consumer<byte[]> action, Duration wait, Runnable onWaited) {
        phase = Phase.AFTER_END;
        afterEndAction = action;
        // The library may have stopped reading, since no answer is due.
        channel.read();
        long millis = channel.isActive() ? wait.toMillis() : 0;
        channel.eventLoop().schedule(onWaited, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Records that the answer is complete.
     *
     * @return whether the connection may be used again; false if more bytes were received with the
     *     answer, if its end was found elsewhere, or if the connection has carried enough calls
     */
    boolean end() {
        violationAction = NO_ACTION;
        afterEndAction = NO_AFTER_END_ACTION;
        bytesAfterEnd = unreadBytes > 0;
        boolean reusable = unreadBytes == 0 && framing.isEnded() && !carriedCalls.isFull();
        phase = reusable ? Phase.IDLE : Phase.CLOSED;
        return reusable;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            // The limits are checked after each piece, so a limit is exceeded by one piece at most.
            while (bytes.isReadable() && phase != Phase.CLOSED) {
                passNextPiece(context, bytes);
            }
            if (bytesAfterEnd) {
                bytesAfterEnd = false;
                reportLateAnswer(bytes);
            }
        } finally {
            bytes.release();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE && isInBodyUntilClose()) {
            connectionEnd.decide(() -> passEnd(context), () -> closeAsPart(context));
            heldEvents.add(event);
        } else if (heldEvents.isEmpty()) {
            context.fireUserEventTriggered(event);
        } else {
            heldEvents.add(event);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (isInBodyUntilClose()) {
            closeAsPart(context);
        }
        context.fireChannelInactive();
    }

    private boolean isInBodyUntilClose() {
        return phase == Phase.BODY && framing.endsWithConnection();
    }

    private void passEnd(ChannelHandlerContext context) {
        phase = Phase.CLOSED;
        List<Object> events = List.copyOf(heldEvents);
        heldEvents.clear();
        events.forEach(context::fireUserEventTriggered);
    }

    private void closeAsPart(ChannelHandlerContext context) {
        String detail = "the connection ended before the server had received the whole request";
        close(context, HttpFailure.Kind.CONNECTION_LOST, detail);
    }

    private void passNextPiece(ChannelHandlerContext context, ByteBuf bytes) {
        if (phase == Phase.AFTER_END) {
            passBytesAfterEnd(bytes);
            return;
        }
        if (phase == Phase.IDLE) {
            reportLateAnswer(bytes);
        }
        int size = phase == Phase.IDLE ? 0 : framing.nextPiece(bytes, SLICE);
        if (size == 0) {
            closeInvalid(context, "bytes that belong to no request");
            return;
        }
        if (framing.hasJoinedHeads()) {
            closeInvalid(context, "a head within a line of the head");
            return;
        }
        ByteBuf piece = bytes.readSlice(size);
        unreadBytes = bytes.readableBytes();
        switch (phase) {
            case HEAD -> passHead(context, piece);
            case SKIPPED_BODY -> skipBody(context, piece);
            default -> {
                bytesAfterHead += size;
                // The decoder reports the parts of the body before this call returns.
                context.fireChannelRead(piece.retain());
            }
        }
        unreadBytes = 0;
        checkLimits(context);
    }

    private void reportLateAnswer(ByteBuf bytes) {
        if (bytes.isReadable() && !nameHeader.isEmpty() && AnswerHead.mayBegin(bytes)) {
            int length = (int) Math.min(bytes.readableBytes(), limits.headBytes());
            AnswerHead head = new AnswerHead(bytes.slice(bytes.readerIndex(), length));
            lateAnswers.accept(new LateAnswer(localPort(), head.status(), head.value(nameHeader)));
        }
    }

    private void passHead(ChannelHandlerContext context, ByteBuf piece) {
        headBytes += piece.readableBytes();
        headLines += countLines(piece);
        switch (filter.addHead(piece, framing.headMayEnd())) {
            case HAND_ON -> handOnHead(context);
            case SKIP -> startSkipping(context);
            case INVALID -> closeInvalid(context, "an answer that names two calls");
            default -> {
                // The head is kept back until it is complete.
            }
        }
    }

    private void handOnHead(ChannelHandlerContext context) {
        ByteBuf head = filter.take();
        // The decoder reports the head that these bytes complete, before this call returns. It
        // accepts buffers of the connection's allocator only.
        context.fireChannelRead(context.alloc().buffer(head.readableBytes()).writeBytes(head));
        if (phase == Phase.HEAD && framing.headMayEnd()) {
            framing.onInterimAnswer();
        }
    }

    private void startSkipping(ChannelHandlerContext context) {
        AnswerHead head = filter.startSkipping();
        phase = Phase.SKIPPED_BODY;
        framing.startBody(
                head.status(), head.value("transfer-encoding"), head.value("content-length"));
        if (framing.endsWithConnection()) {
            closeInvalid(context, "an answer to another call that has no end");
        } else {
            endSkippingIfComplete(context);
        }
    }

    private void skipBody(ChannelHandlerContext context, ByteBuf piece) {
        filter.skipBody(piece);
        if (filter.hasAnswerWithin()) {
            closeInvalid(context, "an answer within one to another call");
        } else {
            endSkippingIfComplete(context);
        }
    }

    private void endSkippingIfComplete(ChannelHandlerContext context) {
        if (framing.isEnded()) {
            filter.endSkipping();
            startHead();
        }
        if (filter.exceedsLimits()) {
            closeInvalid(context, "too many answers to other calls");
        }
    }

    private void passBytesAfterEnd(ByteBuf bytes) {
        reportLateAnswer(bytes);
        byte[] additional = new byte[bytes.readableBytes()];
        bytes.readBytes(additional);
        unreadBytes = additional.length;
        afterEndAction.accept(additional);
        channel.read();
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
            closeTooLarge(context, "the head of the answer", limits.headBytes() + " bytes");
        } else if (phase == Phase.HEAD && headLines > limits.headLines()) {
            closeTooLarge(context, "the head of the answer", limits.headLines() + " lines");
        } else if (phase == Phase.BODY && bytesAfterHead - bodyBytes > allowedFramingBytes) {
            closeTooLarge(context, "the trailers", limits.trailerBytes() + " bytes");
        }
    }

    private void closeInvalid(ChannelHandlerContext context, String detail) {
        close(context, HttpFailure.Kind.ANSWER_INVALID, detail);
    }

    private void closeTooLarge(ChannelHandlerContext context, String part, String limit) {
        close(context, HttpFailure.Kind.ANSWER_TOO_LARGE, part + " exceeds " + limit);
    }

    private void close(ChannelHandlerContext context, HttpFailure.Kind kind, String detail) {
        BiConsumer<HttpFailure.Kind, String> action = violationAction;
        violationAction = NO_ACTION;
        afterEndAction = NO_AFTER_END_ACTION;
        phase = Phase.CLOSED;
        action.accept(kind, detail);
        context.close();
    }
}
