package org.tarragonlug.gateway;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.tarragonlug.decision.forwarding.Fleet;
import org.tarragonlug.decision.forwarding.FleetServer;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.decision.watching.ServerStatement;
import org.tarragonlug.decision.watching.ServerStatements;
import org.tarragonlug.decision.watching.ServerVerdict;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.platform.ServerEntryDecoder;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Passes the listings of servers on to the parts that need them.
 *
 * <p>A store that comes back from an older copy lists servers that have left. Entries that do not
 * hold any more are not passed on to any part ({@link ServerStatements}).
 *
 * <p>In a large deployment the models in the listings change many times per second, so only the
 * planner logs changes that concern nothing but models.
 */
final class ListedServers implements StoreWatcher.Listener {
    private final Fleet fleet;
    private final ForwardingDriver forwarding;
    private final PlacementDriver placement;
    private final QuarantineDriver quarantine;
    private final ServerStatements statements;
    private final Supplier<StoreEra> era;
    private final TimerService timers;
    private final EventLog log;
    private final Runnable onComplete;
    private final Set<ServerId> ids = new HashSet<>();
    private final WithheldEntries withheld;
    private boolean complete;

    /**
     * Creates the listener.
     *
     * @param fleet the servers as the forwarding coordinator knows them
     * @param statements what the servers have said of themselves
     * @param era the present era of the store
     * @param onComplete called when the first complete list has been read
     */
    ListedServers(
            Fleet fleet,
            ForwardingDriver forwarding,
            PlacementDriver placement,
            QuarantineDriver quarantine,
            ServerStatements statements,
            Supplier<StoreEra> era,
            TimerService timers,
            EventLog log,
            Runnable onComplete) {
        this.fleet = fleet;
        this.forwarding = forwarding;
        this.placement = placement;
        this.quarantine = quarantine;
        this.statements = statements;
        this.withheld = new WithheldEntries(statements.renewalTime());
        this.era = era;
        this.timers = timers;
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
        ServerStatement statement = statement(object, listing);
        ServerVerdict verdict = statements.onRead(statement, timers.now());
        if (verdict == ServerVerdict.CURRENT) {
            use(object, listing);
            return;
        }
        logUnused(object, verdict);
        if (verdict == ServerVerdict.WITHHELD) {
            withheld.add(new WithheldEntries.Entry(statement, object, listing), timers.now());
        }
    }

    private ServerStatement statement(StoredObject object, ServerListing listing) {
        StorePosition read = object.position();
        return new ServerStatement(
                new ServerIncarnation(listing.id(), listing.startedMillis()),
                ServerEntryDecoder.writeNumber(object),
                listing.state() == ListedState.LEAVING,
                read.era().isStated() ? read : new StorePosition(era.get(), read.revision()));
    }

    private void logUnused(StoredObject object, ServerVerdict verdict) {
        log.event(LogEvent.STORE_OBJECT_IGNORED)
                .with("object", object.name())
                .with("position", object.position())
                .with("reason", verdict)
                .write();
    }

    /** Uses the withheld entries that are still listed although the store removes silent ones. */
    @Override
    public void onAnswered(Instant began) {
        withheld.takeRenewed(began, era.get()).forEach(this::useRenewed);
    }

    private void useRenewed(WithheldEntries.Entry entry) {
        ServerVerdict verdict = statements.onRenewed(entry.statement(), timers.now());
        if (verdict == ServerVerdict.CURRENT) {
            use(entry.object(), entry.listing());
        }
    }

    private void use(StoredObject object, ServerListing listing) {
        withheld.remove(listing.id());
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
        withheld.remove(id);
        statements.onRemoved(id, era.get(), timers.now());
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
