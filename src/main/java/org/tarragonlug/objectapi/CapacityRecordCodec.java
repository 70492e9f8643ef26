package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.tarragonlug.decision.capacity.CapacityRecord;
import org.tarragonlug.decision.capacity.OpenOrder;
import org.tarragonlug.decision.capacity.OrderKind;
import org.tarragonlug.decision.capacity.ServerEntry;
import org.tarragonlug.decision.capacity.ServerState;
import org.tarragonlug.decision.capacity.Slot;
import org.tarragonlug.decision.capacity.SlotState;
import org.tarragonlug.decision.capacity.StandbySlot;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/**
 * Converts the capacity record of a server group between JSON and Java objects.
 *
 * <p>Rewriting a record keeps unknown fields of the record, its servers and its slots. Otherwise a
 * process of this release would erase fields that a process of a newer release has written.
 */
public final class CapacityRecordCodec {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    /**
     * Reads a stored record.
     *
     * @param object the object read from the object API
     * @return the record; empty if the object does not exist
     * @throws TarragonlugException {@code INTERNAL} if the content is malformed
     */
    public Optional<CapacityRecord> read(StoredObject object) throws TarragonlugException {
        if (!object.exists()) {
            return Optional.empty();
        }
        try {
            return Optional.of(record(object.content()));
        } catch (IllegalArgumentException | DateTimeException malformed) {
            throw new TarragonlugException(
                    ErrorCode.INTERNAL, "object=" + object.name() + " " + malformed, malformed);
        }
    }

    private static CapacityRecord record(JsonNode content) {
        Map<ProcessId, OperationId> operations = new HashMap<>();
        content.path("lastOperations")
                .fields()
                .forEachRemaining(
                        field ->
                                operations.put(
                                        new ProcessId(field.getKey()),
                                        new OperationId(field.getValue().asText())));
        return new CapacityRecord(
                content.path("formatVersion").asInt(),
                new ServerGroup(content.path("group").asText()),
                content.path("revision").asLong(),
                list(content.path("servers"), CapacityRecordCodec::server),
                list(content.path("slots"), CapacityRecordCodec::slot),
                list(content.path("standbySlots"), CapacityRecordCodec::standbySlot),
                operations);
    }

    private static <T> List<T> list(JsonNode array, Function<JsonNode, T> reader) {
        List<T> values = new ArrayList<>();
        array.forEach(node -> values.add(reader.apply(node)));
        return values;
    }

    private static ServerEntry server(JsonNode node) {
        return new ServerEntry(
                new ServerId(node.path("server").asText()),
                node.path("memoryBytes").asLong(),
                ServerState.valueOf(node.path("state").asText()));
    }

    private static Slot slot(JsonNode node) {
        return new Slot(
                ArtifactId.parse(node.path("artifact").asText()),
                artifact(node.path("baseModel")),
                new ServerId(node.path("server").asText()),
                node.path("memoryBytes").asLong(),
                SlotState.valueOf(node.path("state").asText()),
                new FencingToken(node.path("fence").asLong()),
                list(node.path("openOrders"), CapacityRecordCodec::openOrder));
    }

    private static OpenOrder openOrder(JsonNode node) {
        return new OpenOrder(
                new OperationId(node.path("operation").asText()),
                new ProcessId(node.path("process").asText()),
                OrderKind.valueOf(node.path("kind").asText()),
                Instant.parse(node.path("writtenAt").asText()));
    }

    private static StandbySlot standbySlot(JsonNode node) {
        return new StandbySlot(
                new PoolName(node.path("pool").asText()),
                new ServerId(node.path("server").asText()),
                node.path("memoryBytes").asLong(),
                new ProcessId(node.path("holder").asText()),
                list(node.path("artifacts"), item -> ArtifactId.parse(item.asText())),
                new FencingToken(node.path("fence").asLong()),
                artifact(node.path("inUse")));
    }

    private static Optional<ArtifactId> artifact(JsonNode node) {
        return node.isTextual() ? Optional.of(ArtifactId.parse(node.asText())) : Optional.empty();
    }

    /**
     * Returns the JSON form of a record.
     *
     * @param record the record to write
     * @param earlier the content that the record replaces, whose unknown fields are kept; may be
     *     null or a missing node
     */
    public ObjectNode write(CapacityRecord record, JsonNode earlier) {
        ObjectNode content = copy(earlier);
        content.put("formatVersion", record.formatVersion());
        content.put("group", record.group().value());
        content.put("revision", record.revision());
        writeServers(record, earlier, content.putArray("servers"));
        writeSlots(record, earlier, content.putArray("slots"));
        ArrayNode standbySlots = content.putArray("standbySlots");
        record.standbySlots().forEach(slot -> write(slot, standbySlots.addObject()));
        ObjectNode operations = content.putObject("lastOperations");
        record.lastOperations()
                .forEach((process, id) -> operations.put(process.value(), id.value()));
        return content;
    }

    private static ObjectNode copy(JsonNode earlier) {
        return earlier != null && earlier.isObject() ? earlier.deepCopy() : NODES.objectNode();
    }

    private static Map<String, JsonNode> index(
            JsonNode earlier, String array, Function<JsonNode, String> key) {
        Map<String, JsonNode> index = new HashMap<>();
        if (earlier != null) {
            earlier.path(array).forEach(node -> index.put(key.apply(node), node));
        }
        return index;
    }

    private static void writeServers(CapacityRecord record, JsonNode earlier, ArrayNode array) {
        Map<String, JsonNode> before =
                index(earlier, "servers", node -> node.path("server").asText());
        for (ServerEntry server : record.servers()) {
            ObjectNode node = copy(before.get(server.server().value()));
            node.put("server", server.server().value());
            node.put("memoryBytes", server.memoryBytes());
            node.put("state", server.state().name());
            array.add(node);
        }
    }

    private static void writeSlots(CapacityRecord record, JsonNode earlier, ArrayNode array) {
        Map<String, JsonNode> before =
                index(
                        earlier,
                        "slots",
                        node ->
                                node.path("artifact").asText()
                                        + " "
                                        + node.path("server").asText());
        for (Slot slot : record.slots()) {
            ObjectNode node = copy(before.get(slot.artifact() + " " + slot.server()));
            node.put("artifact", slot.artifact().toString());
            slot.baseModel().ifPresent(base -> node.put("baseModel", base.toString()));
            node.put("server", slot.server().value());
            node.put("memoryBytes", slot.memoryBytes());
            node.put("state", slot.state().name());
            node.put("fence", slot.fence().value());
            ArrayNode orders = node.putArray("openOrders");
            for (OpenOrder order : slot.openOrders()) {
                orders.addObject()
                        .put("operation", order.operation().value())
                        .put("process", order.process().value())
                        .put("kind", order.kind().name())
                        .put("writtenAt", order.writtenAt().toString());
            }
            array.add(node);
        }
    }

    private static void write(StandbySlot slot, ObjectNode node) {
        node.put("pool", slot.pool().value());
        node.put("server", slot.server().value());
        node.put("memoryBytes", slot.memoryBytes());
        node.put("holder", slot.holder().value());
        ArrayNode artifacts = node.putArray("artifacts");
        slot.artifacts().forEach(artifact -> artifacts.add(artifact.toString()));
        node.put("fence", slot.fence().value());
        slot.inUse().ifPresent(artifact -> node.put("inUse", artifact.toString()));
    }
}
