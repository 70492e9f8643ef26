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
 * One TCP connection to a peer, in either direction of opening. Both ends send a {@link
 * PeerFrame.Hello} first.
 *
 * <p>A connection can become silent forever without an error. After a write, something must arrive
 * within {@link PeerTransportSettings#silentLimit()}; a ping provokes it. A connection that carries
 * nothing costs nothing and is closed after {@link PeerTransportSettings#idleLimit()}.
 */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /** Told what happens on a connection, on the event loop. */
    interface Owner {
        /** The connection is open, without a first frame of the peer yet. */
        void active(PeerConnection connection);

        /** The first frame of the peer arrived and was accepted. */
        void identified(PeerConnection connection, PeerIdentity peer);

        /** A message arrived. */
        void received(PeerIdentity from, PeerMessage message);

        /** The connection is closed because of what arrived on it. */
        void rejected(PeerConnection connection, TarragonlugException reason);

        /** The connection can take frames again. */
        void writable(PeerConnection connection);

        /** The connection is gone. */
        void closed(PeerConnection connection);
    }

    private static final int LENGTH_BYTES = 4;

    private final PeerTransportSettings settings;
    private final PeerCodec codec;
    private final PeerCounters counters;
    private final Owner owner;
    private Channel channel;
    private Optional<PeerIdentity> peer = Optional.empty();
    private long openedAt;
    private long lastUse;
    private long firstUnansweredWrite = -1;
    private boolean pinged;
    private boolean rejected;

    PeerConnection(
            PeerTransportSettings settings, PeerCodec codec, PeerCounters counters, Owner owner) {
        super(ByteBuf.class);
        this.settings = settings;
        this.codec = codec;
        this.counters = counters;
        this.owner = owner;
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

    /** Writes an encoded frame; counts as a use of the connection. */
    void write(byte[] frame) {
        long now = System.nanoTime();
        lastUse = now;
        if (firstUnansweredWrite < 0) {
            firstUnansweredWrite = now;
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
        lastUse = openedAt;
        PeerIdentity self =
                new PeerIdentity(settings.instance(), settings.process(), settings.advertised());
        write(
                codec.encode(
                        new PeerFrame.Hello(
                                PeerFrame.Hello.MAGIC,
                                settings.deployment(),
                                self,
                                PeerMessage.FORMAT_VERSION)));
        owner.active(this);
        owner.writable(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
        if (rejected) {
            return;
        }
        firstUnansweredWrite = -1;
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
            firstUnansweredWrite = -1;
        } else if (frame instanceof PeerFrame.Content content) {
            lastUse = System.nanoTime();
            counters.received.increment();
            owner.received(peer.get(), content.message());
        } else if (frame instanceof PeerFrame.Unknown) {
            counters.unknownKinds.increment();
        } else if (frame instanceof PeerFrame.Hello) {
            throw new TarragonlugException(
                    ErrorCode.PEER_FRAME_INVALID, "a second first frame on one connection");
        }
    }

    private void identify(PeerFrame frame) throws TarragonlugException {
        if (!(frame instanceof PeerFrame.Hello hello) || hello.magic() != PeerFrame.Hello.MAGIC) {
            throw new TarragonlugException(
                    ErrorCode.PEER_FRAME_INVALID, "the first frame has no magic number");
        }
        if (!hello.deployment().equals(settings.deployment())) {
            throw new TarragonlugException(
                    ErrorCode.PEER_FRAME_INVALID,
                    "it is of deployment '" + hello.deployment() + "'");
        }
        peer = Optional.of(hello.sender());
        owner.identified(this, hello.sender());
    }

    void reject(TarragonlugException reason) {
        rejected = true;
        counters.rejected.increment();
        owner.rejected(this, reason);
        close();
    }

    String remoteAddress() {
        return channel == null ? "?" : String.valueOf(channel.remoteAddress());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            owner.writable(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            reject(
                    new TarragonlugException(
                            ErrorCode.PEER_FRAME_INVALID,
                            "its length is not between 0 and "
                                    + PeerTransportSettings.MAXIMUM_FRAME_BYTES,
                            cause));
        } else {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        owner.closed(this);
    }

    /** Closes a connection that is idle or silent; called several times within a ping period. */
    void watch() {
        long now = System.nanoTime();
        if (peer.isEmpty() && isPast(openedAt, settings.handshakeLimit(), now)) {
            channel.close();
        } else if (isPast(lastUse, settings.idleLimit(), now)) {
            channel.close();
        } else if (firstUnansweredWrite >= 0 && peer.isPresent()) {
            watchSilence(now);
        }
    }

    private void watchSilence(long now) {
        if (isPast(firstUnansweredWrite, settings.silentLimit(), now)) {
            counters.silent.increment();
            channel.close();
        } else if (!pinged && isPast(firstUnansweredWrite, settings.pingAfter(), now)) {
            pinged = true;
            long use = lastUse;
            write(codec.encode(new PeerFrame.Ping()));
            lastUse = use;
        }
    }

    private static boolean isPast(long since, Duration limit, long now) {
        return now - since > limit.toNanos();
    }
}
