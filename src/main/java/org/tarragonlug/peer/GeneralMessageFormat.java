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
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.tarragonlug.decision.membership.MemberUpdate;
import org.tarragonlug.decision.quota.AllowanceNotice;
import org.tarragonlug.decision.quota.AllowanceRequest;

/** Writes and reads messages of any type with a general mapper. */
final class GeneralMessageFormat {
    private final ObjectMapper mapper;

    GeneralMessageFormat() {
        this.mapper =
                new MessagePackMapper()
                        .registerModule(new IdModule())
                        .registerModule(new OptionalModule())
                        .addMixIn(MemberUpdate.class, MemberUpdateFormat.class)
                        .addMixIn(AllowanceRequest.class, AllowanceRequestFormat.class)
                        .addMixIn(AllowanceNotice.class, AllowanceNoticeFormat.class)
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

    /**
     * Writes a frame.
     *
     * @param head fields that precede those of the message
     */
    byte[] write(Map<String, String> head, PeerMessage message) {
        ObjectNode frame = mapper.createObjectNode();
        head.forEach(frame::put);
        frame.setAll(mapper.<ObjectNode>valueToTree(message));
        try {
            return mapper.writeValueAsBytes(frame);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a message cannot be encoded: " + head, e);
        }
    }

    /**
     * Reads a frame.
     *
     * @throws IOException if a field is missing or has another type
     */
    <T extends PeerMessage> T read(byte[] frame, Class<T> type) throws IOException {
        return mapper.treeToValue(mapper.readTree(frame), type);
    }

    /**
     * Encodes member changes as arrays, because they make up most of the bytes. New fields must be
     * added at the end.
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"instance", "process", "incarnation", "state", "origin"})
    private interface MemberUpdateFormat {}

    /**
     * Encodes requests for allowance as arrays, because every instance sends several per second.
     * New fields must be added at the end.
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"number", "advanced", "waiting", "extra"})
    private interface AllowanceRequestFormat {}

    /** Encodes the answers to requests for allowance as arrays, for the same reason. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"number", "instances", "granted", "waitMillis"})
    private interface AllowanceNoticeFormat {}
}
