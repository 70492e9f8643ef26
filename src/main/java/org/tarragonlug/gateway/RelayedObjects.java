package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.platform.AccountKeys;
import org.tarragonlug.runtime.Json;

/** Converts objects of the store to and from the form in which peers relay them. */
final class RelayedObjects {
    private RelayedObjects() {}

    static GatewayMessage.RelayedObject toRelayed(StoredObject object) {
        boolean empty = object.content().isMissingNode();
        return new GatewayMessage.RelayedObject(
                object.name().kind(),
                object.name().name(),
                object.version(),
                empty ? "" : toText(object.content()));
    }

    static String toText(JsonNode content) {
        return new String(Json.bytes(content), StandardCharsets.UTF_8);
    }

    /**
     * Reads an object that a peer has relayed.
     *
     * @param era era of the answer that contains the object
     */
    static StoredObject toStored(GatewayMessage.RelayedObject relayed, StoreEra era) {
        JsonNode content =
                relayed.content().isEmpty()
                        ? MissingNode.getInstance()
                        : JsonFields.parse(relayed.content());
        // A peer of a release that does not know keys passes them on.
        return AccountKeys.withoutKeys(
                new StoredObject(
                        new ObjectName(relayed.kind(), relayed.name()),
                        new StorePosition(era, relayed.version()),
                        content));
    }

    /** Returns the object of the answer to a read or write. */
    static StoredObject toStoredObject(GatewayMessage.ObjectCallAnswer answer) {
        return toStored(answer.objects().get(0), answer.statedEra());
    }

    static WatchResult toWatchResult(GatewayMessage.ObjectCallAnswer answer) {
        StoreEra era = answer.statedEra();
        List<StoredObject> objects = new ArrayList<>();
        answer.objects().forEach(relayed -> objects.add(toStored(relayed, era)));
        return new WatchResult(objects, new StorePosition(era, answer.revision()), answer.gap());
    }
}
