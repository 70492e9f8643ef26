package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;

/** Makes calls to the store for peers that cannot reach it, and sends them the outcomes. */
final class PeerObjectCalls {
    private final ObjectApi store;
    private final RelayingObjectApi.PeerChannel channel;
    private final Executor loop;

    PeerObjectCalls(ObjectApi store, RelayingObjectApi.PeerChannel channel, Executor loop) {
        this.store = store;
        this.channel = channel;
        this.loop = loop;
    }

    /**
     * Makes a call for a peer.
     *
     * @param storeUnreachable whether this instance cannot reach the store either
     */
    void onCall(InstanceId from, GatewayMessage.ObjectCall call, boolean storeUnreachable) {
        if (storeUnreachable) {
            reply(from, call, ErrorCode.OBJECT_API_UNAVAILABLE.name(), List.of(), 0, false);
            return;
        }
        ObjectName name = new ObjectName(call.objectKind(), call.objectName());
        switch (call.operation()) {
            case READ ->
                    store.read(name)
                            .whenCompleteAsync(
                                    (object, failure) -> replyObject(from, call, object, failure),
                                    loop);
            case WRITE ->
                    store.write(
                                    name,
                                    JsonFields.parse(call.content().orElse("null")),
                                    call.version())
                            .whenCompleteAsync(
                                    (written, failure) ->
                                            replyObject(
                                                    from,
                                                    call,
                                                    failure == null
                                                            ? new StoredObject(
                                                                    name,
                                                                    written,
                                                                    MissingNode.getInstance())
                                                            : null,
                                                    failure),
                                    loop);
            case LIST ->
                    store.list(call.objectKind())
                            .whenCompleteAsync(
                                    (result, failure) -> replyResult(from, call, result, failure),
                                    loop);
            default ->
                    store.watch(
                                    call.objectKind(),
                                    StorePosition.of(call.version()),
                                    call.longestWait())
                            .whenCompleteAsync(
                                    (result, failure) -> replyResult(from, call, result, failure),
                                    loop);
        }
    }

    private void replyObject(
            InstanceId to, GatewayMessage.ObjectCall call, StoredObject object, Throwable failure) {
        if (failure != null) {
            reply(to, call, RelayingObjectApi.code(failure).name(), List.of(), 0, false);
        } else {
            reply(to, call, "", List.of(RelayedObjects.toRelayed(object)), 0, false);
        }
    }

    private void replyResult(
            InstanceId to, GatewayMessage.ObjectCall call, WatchResult result, Throwable failure) {
        if (failure != null) {
            reply(to, call, RelayingObjectApi.code(failure).name(), List.of(), 0, false);
            return;
        }
        List<GatewayMessage.RelayedObject> objects = new ArrayList<>();
        result.changed().forEach(object -> objects.add(RelayedObjects.toRelayed(object)));
        reply(to, call, "", objects, result.revision(), result.gap());
    }

    /** Sends the outcome of a call to a peer. */
    void reply(
            InstanceId to,
            GatewayMessage.ObjectCall call,
            String error,
            List<GatewayMessage.RelayedObject> objects,
            long revision,
            boolean gap) {
        channel.send(
                to,
                new GatewayMessage.ObjectCallAnswer(
                        PeerMessage.FORMAT_VERSION, call.call(), error, objects, revision, gap));
    }
}
