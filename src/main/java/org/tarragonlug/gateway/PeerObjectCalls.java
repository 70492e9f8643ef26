package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;

/** Makes calls to the store for peers that cannot reach it, and sends them the outcomes. */
final class PeerObjectCalls implements SharedWatches.Replies {
    private final ObjectApi store;
    private final RelayingObjectApi.PeerChannel channel;
    private final Executor loop;
    private final Supplier<StoreEra> present;

    /**
     * Creates the calls for the peers of an instance.
     *
     * @param store the store
     * @param channel sends messages to peers
     * @param loop the event loop
     * @param present the era of the store that this instance knows
     */
    PeerObjectCalls(
            ObjectApi store,
            RelayingObjectApi.PeerChannel channel,
            Executor loop,
            Supplier<StoreEra> present) {
        this.store = store;
        this.channel = channel;
        this.loop = loop;
        this.present = present;
    }

    /**
     * Makes a call for a peer. A write for a peer that knows another era of the store is refused,
     * because the version that it expects was given out by another copy.
     *
     * @param storeUnreachable whether this instance cannot reach the store either
     */
    void onCall(InstanceId from, GatewayMessage.ObjectCall call, boolean storeUnreachable) {
        boolean write = call.operation() == GatewayMessage.ObjectOperation.WRITE;
        if (storeUnreachable || write && !call.statedEra().equals(present.get())) {
            replyFailure(from, call, ErrorCode.OBJECT_API_UNAVAILABLE);
            return;
        }
        ObjectName name = new ObjectName(call.objectKind(), call.objectName());
        switch (call.operation()) {
            case READ -> replyObject(from, call, store.read(name));
            case WRITE -> replyObject(from, call, write(name, call));
            case LIST -> replyResult(from, call, store.list(call.objectKind()));
            default ->
                    replyResult(
                            from,
                            call,
                            store.watch(
                                    call.objectKind(),
                                    start(call, present.get()),
                                    call.longestWait()));
        }
    }

    /** Makes a write; returns the written object without its content. */
    private CompletionStage<StoredObject> write(ObjectName name, GatewayMessage.ObjectCall call) {
        JsonNode content = JsonFields.parse(call.content().orElse("null"));
        return store.write(name, content, call.version())
                .thenApply(written -> new StoredObject(name, written, MissingNode.getInstance()));
    }

    /**
     * Returns where a watch of a peer starts. A peer that states no era gets the changes of the
     * given one: a gap would make it list the objects without end, since it cannot read the era.
     *
     * @param era era of the store that this instance knows
     */
    static StorePosition start(GatewayMessage.ObjectCall call, StoreEra era) {
        StoreEra stated = call.statedEra();
        return new StorePosition(stated.isStated() ? stated : era, call.version());
    }

    private void replyObject(
            InstanceId to, GatewayMessage.ObjectCall call, CompletionStage<StoredObject> outcome) {
        outcome.whenCompleteAsync(
                (object, failure) -> {
                    if (failure != null) {
                        replyFailure(to, call, RelayingObjectApi.code(failure));
                        return;
                    }
                    List<GatewayMessage.RelayedObject> objects =
                            List.of(RelayedObjects.toRelayed(object));
                    StoreEra era = object.position().era();
                    reply(to, call, objects, new StorePosition(era, 0), false);
                },
                loop);
    }

    private void replyResult(
            InstanceId to, GatewayMessage.ObjectCall call, CompletionStage<WatchResult> outcome) {
        outcome.whenCompleteAsync(
                (result, failure) -> {
                    if (failure != null) {
                        replyFailure(to, call, RelayingObjectApi.code(failure));
                        return;
                    }
                    List<GatewayMessage.RelayedObject> objects = new ArrayList<>();
                    result.changed()
                            .forEach(object -> objects.add(RelayedObjects.toRelayed(object)));
                    reply(to, call, objects, result.position(), result.gap());
                },
                loop);
    }

    @Override
    public void replyFailure(InstanceId to, GatewayMessage.ObjectCall call, ErrorCode code) {
        send(to, call, code.name(), List.of(), StorePosition.START, false);
    }

    @Override
    public void reply(
            InstanceId to,
            GatewayMessage.ObjectCall call,
            List<GatewayMessage.RelayedObject> objects,
            StorePosition position,
            boolean gap) {
        send(to, call, "", objects, position, gap);
    }

    private void send(
            InstanceId to,
            GatewayMessage.ObjectCall call,
            String error,
            List<GatewayMessage.RelayedObject> objects,
            StorePosition position,
            boolean gap) {
        channel.send(
                to,
                new GatewayMessage.ObjectCallAnswer(
                        PeerMessage.FORMAT_VERSION,
                        call.call(),
                        error,
                        objects,
                        position.revision(),
                        gap,
                        position.era().value()));
    }
}
