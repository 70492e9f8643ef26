package org.tarragonlug.peer;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * Encodes and decodes frames between processes. A frame is a MessagePack map with kind,
 * formatVersion, sender and the fields of the message; the length prefix is not part of it.
 *
 * <p>Unknown fields are ignored, and missing lists are read as empty lists. A frame of a known kind
 * whose fields cannot be read is malformed. If its sender has a newer format version, however, the
 * frame is treated as one of an unknown kind.
 *
 * <p>The messages between gateways are written and read by {@link GatewayMessageFormat}, all others
 * by {@link GeneralMessageFormat}, which is created when it is first needed.
 */
public final class PeerCodec {
    private static final String KIND = "kind";
    private static final String SENDER = "sender";
    private static final String FORMAT_VERSION = "formatVersion";
    private static final String HELLO = "Hello";
    private static final String PING = "Ping";
    private static final String PONG = "Pong";

    /** Message types by kind. The kinds are used on the wire and stay when a class is renamed. */
    private static final Map<String, Class<? extends PeerMessage>> TYPE_BY_KIND =
            Map.ofEntries(
                    Map.entry("Probe", PeerMessage.Probe.class),
                    Map.entry("ProbeAcknowledgement", PeerMessage.ProbeAcknowledgement.class),
                    Map.entry("IndirectProbe", PeerMessage.IndirectProbe.class),
                    Map.entry("Gossip", PeerMessage.Gossip.class),
                    Map.entry("DemandReport", PeerMessage.DemandReport.class),
                    Map.entry("ReplicasChanged", PeerMessage.ReplicasChanged.class),
                    Map.entry("LoadTurnRequest", PeerMessage.LoadTurnRequest.class),
                    Map.entry("LoadTurnGrant", PeerMessage.LoadTurnGrant.class),
                    Map.entry("LoadTurnRefused", PeerMessage.LoadTurnRefused.class),
                    Map.entry("LoadTurnReturn", PeerMessage.LoadTurnReturn.class),
                    Map.entry("LoadTurnReturnReceived", PeerMessage.LoadTurnReturnReceived.class),
                    Map.entry("LoadWasSlow", PeerMessage.LoadWasSlow.class),
                    Map.entry("ConfigurationRequest", PeerMessage.ConfigurationRequest.class),
                    Map.entry("ConfigurationRows", PeerMessage.ConfigurationRows.class),
                    Map.entry("ConfigurationWhole", PeerMessage.ConfigurationWhole.class),
                    Map.entry("SuspectsAnnounced", PeerMessage.SuspectsAnnounced.class),
                    Map.entry("FingerprintCondemned", PeerMessage.FingerprintCondemned.class),
                    Map.entry("DecisionHandover", PeerMessage.DecisionHandover.class),
                    Map.entry("ModelDemandReport", GatewayMessage.ModelDemandReport.class),
                    Map.entry("PlacementNotice", GatewayMessage.PlacementNotice.class),
                    Map.entry("ObjectCall", GatewayMessage.ObjectCall.class),
                    Map.entry("ObjectCallAnswer", GatewayMessage.ObjectCallAnswer.class),
                    Map.entry("OrderCall", GatewayMessage.OrderCall.class),
                    Map.entry("OrderCallAnswer", GatewayMessage.OrderCallAnswer.class),
                    Map.entry("QuotaCall", GatewayMessage.QuotaCall.class),
                    Map.entry("QuotaGrant", GatewayMessage.QuotaGrant.class),
                    Map.entry("ServerLossReport", GatewayMessage.ServerLossReport.class),
                    Map.entry("AnswerReport", GatewayMessage.AnswerReport.class),
                    Map.entry("QuarantineNotice", GatewayMessage.QuarantineNotice.class));

    private static final Map<Class<? extends PeerMessage>, String> KIND_BY_TYPE =
            TYPE_BY_KIND.entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getValue, Map.Entry::getKey));

    /**
     * Small and frequent kinds that do not repeat the sender, which the connection's first frame
     * has named.
     */
    private static final Set<String> KINDS_WITHOUT_SENDER = Set.of("QuotaCall", "QuotaGrant");

    /** Holds the general format, which is costly to create. */
    private static final class General {
        private static final GeneralMessageFormat FORMAT = new GeneralMessageFormat();
    }

    private final ProcessId sender;

    /**
     * Creates a codec.
     *
     * @param sender process that is written as the sender of encoded frames
     */
    public PeerCodec(ProcessId sender) {
        this.sender = sender;
    }

    private MessageWriter writer(String kind) {
        MessageWriter writer = new MessageWriter().text(KIND, kind);
        return KINDS_WITHOUT_SENDER.contains(kind) ? writer : writer.text(SENDER, sender);
    }

    /** Encodes a message as a frame, without its length prefix. */
    public byte[] encode(PeerMessage message) {
        String kind = KIND_BY_TYPE.get(message.getClass());
        MessageWriter writer = writer(kind);
        return GatewayMessageFormat.write(message, writer)
                ? writer.toBytes()
                : encodeGenerally(kind, message);
    }

    /** Encodes a message with the general format, whatever its kind. */
    byte[] encodeGenerally(String kind, PeerMessage message) {
        Map<String, String> head = new LinkedHashMap<>();
        head.put(KIND, kind);
        head.put(SENDER, sender.value());
        return General.FORMAT.write(head, message);
    }

    byte[] encode(PeerFrame frame) {
        if (frame instanceof PeerFrame.Content content) {
            return encode(content.message());
        }
        if (frame instanceof PeerFrame.Hello hello) {
            return writer(HELLO)
                    .text("instance", hello.sender().instance())
                    .text("process", hello.sender().process())
                    .text("address", hello.sender().address())
                    .number("magic", hello.magic())
                    .text("deployment", hello.deployment())
                    .number(FORMAT_VERSION, hello.formatVersion())
                    .toBytes();
        }
        return writer(frame instanceof PeerFrame.Ping ? PING : PONG)
                .number(FORMAT_VERSION, PeerMessage.FORMAT_VERSION)
                .toBytes();
    }

    /**
     * Decodes a frame without its length prefix.
     *
     * @throws TarragonlugException {@code PEER_FRAME_INVALID} if the frame is malformed
     */
    PeerFrame decode(byte[] bytes) throws TarragonlugException {
        MessagePackScanner.check(bytes);
        try {
            Value frame = parse(bytes);
            MessageFields fields = new MessageFields(frame);
            String kind = fields.text(KIND);
            return switch (kind) {
                case HELLO -> readHello(fields);
                case PING -> new PeerFrame.Ping();
                case PONG -> new PeerFrame.Pong();
                default -> readContent(kind, frame, fields, bytes);
            };
        } catch (IOException | RuntimeException e) {
            throw new TarragonlugException(
                    ErrorCode.PEER_FRAME_INVALID, "the frame cannot be read: " + e.getMessage(), e);
        }
    }

    private static Value parse(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return unpacker.unpackValue();
        }
    }

    private static PeerFrame readHello(MessageFields fields) {
        PeerIdentity identity =
                new PeerIdentity(
                        new InstanceId(fields.text("instance")),
                        new ProcessId(fields.text("process")),
                        fields.text("address"));
        return new PeerFrame.Hello(
                fields.number("magic"),
                fields.text("deployment"),
                identity,
                fields.smallNumber(FORMAT_VERSION));
    }

    private static PeerFrame readContent(
            String kind, Value frame, MessageFields fields, byte[] bytes) throws IOException {
        Class<? extends PeerMessage> type = TYPE_BY_KIND.get(kind);
        if (type == null) {
            return new PeerFrame.Unknown(kind);
        }
        try {
            Optional<PeerMessage> message = GatewayMessageFormat.read(kind, frame);
            return new PeerFrame.Content(
                    message.isPresent() ? message.get() : General.FORMAT.read(bytes, type));
        } catch (IOException | RuntimeException e) {
            if (fields.smallNumberOrZero(FORMAT_VERSION) > PeerMessage.FORMAT_VERSION) {
                return new PeerFrame.Unknown(kind);
            }
            throw e;
        }
    }
}
