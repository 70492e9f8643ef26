package org.tarragonlug.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.time.Duration;
import java.util.Optional;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;

/**
 * One TCP connection to a peer, opened by either side. Both sides send a {@link PeerFrame.Hello}
 * first.
 *
 * <p>A connection can become silent forever without an error. To detect this, a frame must arrive
 * within {@link PeerTransportSettings#silentLimit()} after a write; a ping makes the peer answer if
 * it has no message to send. A connection without messages sends no pings and is closed after
 * {@link PeerTransportSettings#idleLimit()}.
 */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /** Receives the events of a connection, on the event loop. */
    interface Listener {
        /** Called when the connection is open, before the first frame of the peer has arrived. */
        void onActive(PeerConnection connection);

        /** Called when the first frame of the peer has arrived and was accepted. */
        void onIdentified(PeerConnection connection, PeerIdentity peer);

        /** Called when a message has arrived. */
        void onMessage(PeerIdentity from, PeerMessage message);

        /** Called before the connection is closed because of an invalid frame. */
        void onRejected(PeerConnection connection, TarragonlugException reason);

        /** Called when the connection can accept frames, first after its opening. */
        void onWritable(PeerConnection connection);

        /** Called when the connection has been closed by either side. */
        void onClosed(PeerConnection connection);
    }

    private static final int LENGTH_BYTES = 4;

    private final PeerTransportSettings settings;
    private final PeerCodec codec;
    private final PeerCounters counters;
    private final Listener listener;
    private Channel channel;
    private Optional<PeerIdentity> peer = Optional.empty();
    private long openedAt;
    private long lastUsedAt;
    private long firstUnansweredWriteAt = -1;
    private boolean pinged;
    private boolean rejected;

    PeerConnection(
            PeerTransportSettings settings,
            PeerCodec codec,
            PeerCounters counters,
            Listener listener) {
        super(ByteBuf.class);
        this.settings = settings;
        this.codec = codec;
        this.counters = counters;
        this.listener = listener;
    }

    Optional<PeerIdentity> peer() {
        return peer;
    }

    boolean isWritable() {
        return channel != null && channel.isActive() && channel.isWritable();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Writes an encoded frame and restarts the idle time of the connection. */
    void write(byte[] frame) {
        long now = System.nanoTime();
        lastUsedAt = now;
        if (firstUnansweredWriteAt < 0) {
            firstUnansweredWriteAt = now;
        }
        ByteBuf buffer = channel.alloc().buffer(LENGTH_BYTES + frame.length);
        buffer.writeInt(frame.length);
        buffer.writeBytes(frame);
        counters.bytesSent.add(LENGTH_BYTES + frame.length);
        channel.writeAndFlush(buffer, channel.voidPromise());
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        openedAt = System.nanoTime();
        lastUsedAt = openedAt;
        PeerIdentity self =
                new PeerIdentity(settings.instance(), settings.process(), settings.advertised());
        write(
                codec.encode(
                        new PeerFrame.Hello(
                                PeerFrame.Hello.MAGIC,
                                settings.deployment(),
                                self,
                                PeerMessage.FORMAT_VERSION)));
        listener.onActive(this);
        listener.onWritable(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
        if (rejected) {
            return;
        }
        firstUnansweredWriteAt = -1;
        pinged = false;
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        counters.bytesReceived.add(LENGTH_BYTES + bytes.length);
        try {
            handle(codec.decode(bytes));
        } catch (TarragonlugException e) {
            reject(e);
        }
    }

    private void handle(PeerFrame frame) throws TarragonlugException {
        if (peer.isEmpty()) {
            identify(frame);
            return;
        }
        if (frame instanceof PeerFrame.Ping) {
            write(codec.encode(new PeerFrame.Pong()));
            firstUnansweredWriteAt = -1;
        } else if (frame instanceof PeerFrame.Content content) {
            lastUsedAt = System.nanoTime();
            counters.received.increment();
            listener.onMessage(peer.get(), content.message());
        } else if (frame instanceof PeerFrame.Unknown) {
            counters.unknownKinds.increment();
        } else if (frame instanceof PeerFrame.Hello) {
            throw new TarragonlugException(
                    ErrorCode.PEER_FRAME_INVALID, "the connection sent a second Hello frame");
        }
    }

    private void identify(PeerFrame frame) throws TarragonlugException {
        if (!(frame instanceof PeerFrame.Hello hello) || hello.magic() != PeerFrame.Hello.MAGIC) {
            throw new TarragonlugException(
                    ErrorCode.PEER_FRAME_INVALID,
                    "the first frame is not a Hello frame with the magic number");
        }
        if (!hello.deployment().equals(settings.deployment())) {
            throw new TarragonlugException(
                    ErrorCode.PEER_FRAME_INVALID,
                    "the peer belongs to deployment '"
                            + hello.deployment()
                            + "' instead of '"
                            + settings.deployment()
                            + "'");
        }
        peer = Optional.of(hello.sender());
        listener.onIdentified(this, hello.sender());
    }

    void reject(TarragonlugException reason) {
        rejected = true;
        counters.rejected.increment();
        listener.onRejected(this, reason);
        close();
    }

    String remoteAddress() {
        return channel == null ? "?" : String.valueOf(channel.remoteAddress());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            listener.onWritable(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            reject(
                    new TarragonlugException(
                            ErrorCode.PEER_FRAME_INVALID,
                            "the length of the frame is not between 0 and "
                                    + PeerTransportSettings.MAXIMUM_FRAME_BYTES,
                            cause));
        } else {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.onClosed(this);
    }

    /**
     * Closes the connection if it is idle or silent or its handshake takes too long, and sends the
     * pings. Called several times within {@link PeerTransportSettings#pingAfter()}.
     */
    void checkTimeouts() {
        long now = System.nanoTime();
        if (peer.isEmpty() && isPast(openedAt, settings.handshakeLimit(), now)) {
            channel.close();
        } else if (isPast(lastUsedAt, settings.idleLimit(), now)) {
            channel.close();
        } else if (firstUnansweredWriteAt >= 0 && peer.isPresent()) {
            checkSilence(now);
        }
    }

    private void checkSilence(long now) {
        if (isPast(firstUnansweredWriteAt, settings.silentLimit(), now)) {
            counters.silent.increment();
            channel.close();
        } else if (!pinged && isPast(firstUnansweredWriteAt, settings.pingAfter(), now)) {
            pinged = true;
            long previousUse = lastUsedAt;
            write(codec.encode(new PeerFrame.Ping()));
            lastUsedAt = previousUse;
        }
    }

    private static boolean isPast(long since, Duration limit, long now) {
        return now - since > limit.toNanos();
    }
}
