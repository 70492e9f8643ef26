package org.tarragonlug.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.Fleet;
import org.tarragonlug.decision.forwarding.FleetServer;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.platform.ServerEntryDecoder;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;

/**
 * Passes the listings of servers on to the parts that need them.
 *
 * <p>In a large deployment the models in the listings change many times per second, so only the
 * planner logs changes that concern nothing but models.
 */
final class ListedServers implements StoreWatcher.Listener {
    private final Fleet fleet;
    private final ForwardingDriver forwarding;
    private final PlacementDriver placement;
    private final QuarantineDriver quarantine;
    private final EventLog log;
    private final Runnable onComplete;
    private final Set<ServerId> ids = new HashSet<>();
    private boolean complete;

    /**
     * Creates the listener.
     *
     * @param fleet the servers as the forwarding coordinator knows them
     * @param onComplete called when the first complete list has been read
     */
    ListedServers(
            Fleet fleet,
            ForwardingDriver forwarding,
            PlacementDriver placement,
            QuarantineDriver quarantine,
            EventLog log,
            Runnable onComplete) {
        this.fleet = fleet;
        this.forwarding = forwarding;
        this.placement = placement;
        this.quarantine = quarantine;
        this.log = log;
        this.onComplete = onComplete;
    }

    /** Returns the ids of all listed servers. */
    Set<ServerId> ids() {
        return ids;
    }

    /** Returns whether a complete list has been read. */
    boolean isComplete() {
        return complete;
    }

    @Override
    public void onChanged(StoredObject object) {
        ServerListing listing;
        try {
            listing = ServerEntryDecoder.decode(object);
        } catch (IllegalArgumentException unreadable) {
            log.event(LogEvent.STORE_ENTRY_UNREADABLE)
                    .with("object", object.name())
                    .with("detail", unreadable.getMessage())
                    .write();
            onRemoved(object.name().name());
            return;
        }
        if (changesMoreThanModels(listing) || placement.isPlanning()) {
            log.event(LogEvent.SERVER_LISTED)
                    .with("server", listing.id())
                    .with("state", listing.state())
                    .with("models", listing.models().keySet())
                    .with("revision", object.version())
                    .write();
        }
        Optional<ServerIncarnation> before = incarnation(listing.id());
        ids.add(listing.id());
        forwarding.post(new ForwardingEvent.ServerListed(listing));
        placement.post(new PlacementEvent.ServerListed(listing));
        before.filter(run -> run.startedMillis() != listing.startedMillis())
                .ifPresent(quarantine::onServerGone);
    }

    private boolean changesMoreThanModels(ServerListing listing) {
        Optional<ServerListing> before = fleet.server(listing.id()).map(FleetServer::listing);
        return before.filter(
                        previous ->
                                previous.state() == listing.state()
                                        && previous.startedMillis() == listing.startedMillis())
                .isEmpty();
    }

    private Optional<ServerIncarnation> incarnation(ServerId id) {
        return fleet.server(id).map(FleetServer::incarnation);
    }

    @Override
    public void onRemoved(String name) {
        ServerId id = new ServerId(name);
        log.event(LogEvent.SERVER_UNLISTED).with("server", name).write();
        Optional<ServerIncarnation> before = incarnation(id);
        ids.remove(id);
        forwarding.post(new ForwardingEvent.ServerUnlisted(id));
        placement.post(new PlacementEvent.ServerUnlisted(id));
        before.ifPresent(quarantine::onServerGone);
    }

    @Override
    public void onInitialListComplete() {
        complete = true;
        onComplete.run();
    }
}
