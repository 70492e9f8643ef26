package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.LogEvent;

/**
 * Shares between instances which requests crash backend servers: at once by messages, and for
 * instances that start later through the object API.
 */
final class SharedQuarantine {
    private static final String KIND = "quarantine";
    private static final int FORMAT_VERSION = 1;

    private final InstanceContext context;
    private final ObjectApi objectApi;
    private final PeerMessageDispatcher peers;
    private final ServerObserver servers;
    private final Consumer<RequestEvent> events;

    /**
     * Creates the sharing; it receives messages at once.
     *
     * @param servers tells which run of a server was lost
     * @param events receives what other instances found, on the event loop
     */
    SharedQuarantine(
            InstanceContext context,
            ObjectApi objectApi,
            PeerMessageDispatcher peers,
            ServerObserver servers,
            Consumer<RequestEvent> events) {
        this.context = context;
        this.objectApi = objectApi;
        this.peers = peers;
        this.servers = servers;
        this.events = events;
        peers.setHandler(
                PeerMessage.SuspectsAnnounced.class,
                (from, message) ->
                        events.accept(
                                new RequestEvent.SuspectsAnnounced(
                                        message.server(), message.fingerprints())));
        peers.setHandler(
                PeerMessage.FingerprintCondemned.class,
                (from, message) ->
                        events.accept(
                                new RequestEvent.FingerprintQuarantined(message.fingerprint())));
    }

    /** Reads what was found before this instance started. */
    void start() {
        context.onLoop(
                objectApi.list(KIND),
                (listed, failure) -> {
                    if (failure == null) {
                        listed.changed().forEach(this::restore);
                    }
                });
    }

    private void restore(StoredObject object) {
        if (object.exists()) {
            Fingerprint fingerprint = new Fingerprint(object.name().name());
            events.accept(new RequestEvent.FingerprintQuarantined(fingerprint));
        }
    }

    /** Tells the other instances which requests a lost server was running. */
    void announce(RequestCommand.AnnounceSuspects suspects) {
        context.log().event(LogEvent.SERVER_LOST).with("server", suspects.server()).write();
        String incarnation = servers.incarnation(suspects.server()).orElse("unknown");
        peers.sendToAll(
                new PeerMessage.SuspectsAnnounced(
                        PeerMessage.FORMAT_VERSION,
                        suspects.server(),
                        incarnation,
                        suspects.fingerprints()));
    }

    /** Tells all instances, present and later ones, that requests crash servers. */
    void quarantine(Fingerprint fingerprint) {
        context.log().event(LogEvent.REQUEST_QUARANTINED).with("fingerprint", fingerprint).write();
        peers.sendToAll(
                new PeerMessage.FingerprintCondemned(
                        PeerMessage.FORMAT_VERSION, fingerprint, "it crashed backend servers"));
        ObjectNode content = Json.object();
        content.put("formatVersion", FORMAT_VERSION);
        content.put("condemnedBy", context.process().value());
        content.put("condemnedAt", context.now().toString());
        objectApi.write(new ObjectName(KIND, fingerprint.value()), content, StoredObject.ABSENT);
    }
}
