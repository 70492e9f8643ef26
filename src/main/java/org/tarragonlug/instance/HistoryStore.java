package org.tarragonlug.instance;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonlug.decision.capacity.ArrivalHistoryRecord;
import org.tarragonlug.decision.capacity.DefaultKeepWarmPolicy;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.LogEvent;

/**
 * Stores the arrival histories of a server group in the object API, so that the weekly pattern of
 * lessons is available to a new decider.
 *
 * <p>The histories of a group are distributed over a fixed number of objects by a hash of the
 * artifact. This keeps each object below the limit of 1 MB; a history takes at most about 4 KB. The
 * histories affect only the quality of keep-warm decisions. Therefore the last writer wins, and a
 * failed write is not retried.
 */
final class HistoryStore {
    private static final int SHARDS = 16;
    private static final int FORMAT_VERSION = 1;
    private static final Duration SAVE_PERIOD = Duration.ofMinutes(10);

    private final InstanceContext context;
    private final MonitoredObjectApi objectApi;
    private final ServerGroup group;
    private final DefaultKeepWarmPolicy policy;
    private final List<JsonNode> lastSaved = new ArrayList<>();
    private boolean deciding;
    private int pendingReads;

    HistoryStore(
            InstanceContext context,
            MonitoredObjectApi objectApi,
            ServerGroup group,
            DefaultKeepWarmPolicy policy) {
        this.context = context;
        this.objectApi = objectApi;
        this.group = group;
        this.policy = policy;
        for (int shard = 0; shard < SHARDS; shard++) {
            lastSaved.add(Json.object());
        }
    }

    void start() {
        context.every(SAVE_PERIOD, this::save);
    }

    void setDeciding(boolean isDeciding) {
        if (deciding && !isDeciding) {
            save();
        }
        deciding = isDeciding;
        if (isDeciding) {
            load();
        }
    }

    private ObjectName name(int shard) {
        return new ObjectName("history", group + "-" + shard);
    }

    private int shard(ArtifactId artifact) {
        return (int) Long.remainderUnsigned(context.hasher().hash(artifact.toString()), SHARDS);
    }

    private void load() {
        Map<ArtifactId, ArrivalHistoryRecord> records = new HashMap<>();
        pendingReads = SHARDS;
        for (int shard = 0; shard < SHARDS; shard++) {
            context.onLoop(
                    objectApi.read(name(shard)),
                    (object, failure) -> {
                        if (failure == null && object.exists()) {
                            readHistories(object, records);
                        }
                        pendingReads--;
                        if (pendingReads == 0 && !records.isEmpty()) {
                            policy.restore(records, context.now());
                        }
                    });
        }
    }

    private void readHistories(StoredObject object, Map<ArtifactId, ArrivalHistoryRecord> records) {
        JsonNode histories = object.content().path("histories");
        histories
                .fields()
                .forEachRemaining(
                        field -> {
                            try {
                                records.put(
                                        ArtifactId.parse(field.getKey()),
                                        Json.mapper()
                                                .treeToValue(
                                                        field.getValue(),
                                                        ArrivalHistoryRecord.class));
                            } catch (JsonProcessingException | IllegalArgumentException malformed) {
                                context.log()
                                        .event(LogEvent.PART_FAILED)
                                        .with("part", object.name())
                                        .with("failure", malformed.getMessage())
                                        .write();
                            }
                        });
    }

    /** Writes the shards that have changed, if this instance is the decider and the API is up. */
    void save() {
        if (!deciding || !objectApi.isUp()) {
            return;
        }
        List<ObjectNode> shards = new ArrayList<>();
        for (int shard = 0; shard < SHARDS; shard++) {
            ObjectNode content = Json.object().put("formatVersion", FORMAT_VERSION);
            content.putObject("histories");
            shards.add(content);
        }
        policy.toRecords(context.now())
                .forEach(
                        (artifact, record) ->
                                ((ObjectNode) shards.get(shard(artifact)).path("histories"))
                                        .set(
                                                artifact.toString(),
                                                Json.mapper().valueToTree(record)));
        for (int shard = 0; shard < SHARDS; shard++) {
            save(shard, shards.get(shard));
        }
    }

    private void save(int shard, ObjectNode content) {
        if (content.path("histories").isEmpty() || content.equals(lastSaved.get(shard))) {
            return;
        }
        lastSaved.set(shard, content);
        ObjectName name = name(shard);
        objectApi
                .read(name)
                .thenCompose(object -> objectApi.write(name, content, object.version()));
    }
}
