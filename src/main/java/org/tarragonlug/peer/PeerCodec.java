package org.tarragonlug.peer;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.tarragonlug.decision.membership.MemberUpdate;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.ProcessId;

/**
 * Encodes and decodes frames between processes. A frame is a MessagePack map with kind,
 * formatVersion, sender and the fields of the message; the length prefix is not part of it.
 *
 * <p>Unknown fields are ignored, and missing lists are read as empty lists. A frame of a known kind
 * whose fields cannot be read is malformed. If its sender has a newer format version, however, the
 * frame is treated as one of an unknown kind.
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
                    Map.entry("ModelDemandReport", PeerMessage.ModelDemandReport.class),
                    Map.entry("PlacementNotice", PeerMessage.PlacementNotice.class),
                    Map.entry("ObjectCall", PeerMessage.ObjectCall.class),
                    Map.entry("ObjectCallAnswer", PeerMessage.ObjectCallAnswer.class),
                    Map.entry("OrderCall", PeerMessage.OrderCall.class),
                    Map.entry("OrderCallAnswer", PeerMessage.OrderCallAnswer.class));

    private static final Map<Class<? extends PeerMessage>, String> KIND_BY_TYPE =
            TYPE_BY_KIND.entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getValue, Map.Entry::getKey));

    private final ObjectMapper mapper;
    private final ProcessId sender;

    /**
     * Creates a codec.
     *
     * @param sender process that is written as the sender of encoded frames
     */
    public PeerCodec(ProcessId sender) {
        this.sender = sender;
        this.mapper =
                new MessagePackMapper()
                        .registerModule(new IdModule())
                        .registerModule(new OptionalModule())
                        .addMixIn(MemberUpdate.class, MemberUpdateFormat.class)
                        .setVisibility(PropertyAccessor.GETTER, JsonAutoDetect.Visibility.NONE)
                        .setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
                        .setVisibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
                        .setDefaultSetterInfo(JsonSetter.Value.forContentNulls(Nulls.FAIL))
                        .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
                        .configure(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES, true);
        for (Class<?> type : List.of(List.class, Map.class, Optional.class)) {
            mapper.configOverride(type).setInclude(omittedWhenEmpty());
        }
        mapper.configOverride(List.class).setSetterInfo(emptyWhenMissing());
        mapper.configOverride(Map.class).setSetterInfo(emptyWhenMissing());
    }

    private static JsonInclude.Value omittedWhenEmpty() {
        return JsonInclude.Value.construct(
                JsonInclude.Include.NON_EMPTY, JsonInclude.Include.ALWAYS);
    }

    private static JsonSetter.Value emptyWhenMissing() {
        return JsonSetter.Value.construct(Nulls.AS_EMPTY, Nulls.FAIL);
    }

    /** Encodes a message as a frame, without its length prefix. */
    public byte[] encode(PeerMessage message) {
        return writeFrame(KIND_BY_TYPE.get(message.getClass()), mapper.valueToTree(message));
    }

    byte[] encode(PeerFrame frame) {
        if (frame instanceof PeerFrame.Content content) {
            return encode(content.message());
        }
        if (frame instanceof PeerFrame.Hello hello) {
            ObjectNode fields = mapper.valueToTree(hello.sender());
            fields.put("magic", hello.magic());
            fields.put("deployment", hello.deployment());
            fields.put(FORMAT_VERSION, hello.formatVersion());
            return writeFrame(HELLO, fields);
        }
        ObjectNode fields = mapper.createObjectNode();
        fields.put(FORMAT_VERSION, PeerMessage.FORMAT_VERSION);
        return writeFrame(frame instanceof PeerFrame.Ping ? PING : PONG, fields);
    }

    private byte[] writeFrame(String kind, ObjectNode fields) {
        ObjectNode frame = mapper.createObjectNode();
        frame.put(KIND, kind);
        frame.put(SENDER, sender.value());
        frame.setAll(fields);
        try {
            return mapper.writeValueAsBytes(frame);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a frame of kind " + kind + " cannot be encoded", e);
        }
    }

    /**
     * Decodes a frame without its length prefix.
     *
     * @throws TarragonlugException {@code PEER_FRAME_INVALID} if the frame is malformed
     */
    PeerFrame decode(byte[] bytes) throws TarragonlugException {
        MessagePackScanner.check(bytes);
        JsonNode frame = parseFrame(bytes);
        String kind = frame.path(KIND).asText();
        return switch (kind) {
            case HELLO -> readHello(frame);
            case PING -> new PeerFrame.Ping();
            case PONG -> new PeerFrame.Pong();
            default -> readContent(kind, frame);
        };
    }

    private JsonNode parseFrame(byte[] bytes) throws TarragonlugException {
        JsonNode frame;
        try {
            frame = mapper.readTree(bytes);
        } catch (IOException | RuntimeException e) {
            throw invalid("the frame cannot be parsed", e);
        }
        if (frame == null || !frame.isObject() || !frame.path(KIND).isTextual()) {
            throw new TarragonlugException(
                    ErrorCode.PEER_FRAME_INVALID, "the frame is not a map with a kind");
        }
        return frame;
    }

    private PeerFrame readHello(JsonNode frame) throws TarragonlugException {
        return read(
                frame,
                PeerIdentity.class,
                identity ->
                        new PeerFrame.Hello(
                                frame.path("magic").asLong(),
                                frame.path("deployment").asText(),
                                identity,
                                frame.path(FORMAT_VERSION).asInt()));
    }

    private PeerFrame readContent(String kind, JsonNode frame) throws TarragonlugException {
        Class<? extends PeerMessage> type = TYPE_BY_KIND.get(kind);
        if (type == null) {
            return new PeerFrame.Unknown(kind);
        }
        try {
            return read(frame, type, PeerFrame.Content::new);
        } catch (TarragonlugException e) {
            if (frame.path(FORMAT_VERSION).asInt() > PeerMessage.FORMAT_VERSION) {
                return new PeerFrame.Unknown(kind);
            }
            throw e;
        }
    }

    private <T> PeerFrame read(JsonNode frame, Class<T> type, Function<T, PeerFrame> factory)
            throws TarragonlugException {
        try {
            return factory.apply(mapper.treeToValue(frame, type));
        } catch (JsonProcessingException | RuntimeException e) {
            throw invalid("the fields of kind " + frame.path(KIND).asText() + " cannot be read", e);
        }
    }

    private static TarragonlugException invalid(String detail, Exception cause) {
        return new TarragonlugException(ErrorCode.PEER_FRAME_INVALID, detail, cause);
    }

    /**
     * Encodes member changes as arrays, because they make up most of the bytes. New fields must be
     * added at the end.
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"instance", "process", "incarnation", "state", "origin"})
    private interface MemberUpdateFormat {}
}
