package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.tarragonlug.decision.configuration.AcceptedConfiguration;
import org.tarragonlug.decision.configuration.AcceptorCommand;
import org.tarragonlug.decision.configuration.AcceptorEvent;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.ConfigurationAcceptor;
import org.tarragonlug.decision.configuration.ConfigurationStatus;
import org.tarragonlug.decision.configuration.ConfigurationSynchronizer;
import org.tarragonlug.decision.configuration.SynchronizerCommand;
import org.tarragonlug.decision.configuration.SynchronizerEvent;
import org.tarragonlug.decision.configuration.WriteOutcome;
import org.tarragonlug.decision.membership.Ownership;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.objectapi.AcceptedConfigurationCodec;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.TableCodec;
import org.tarragonlug.objectapi.UnknownFields;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.StateSource;

/**
 * Runs the state machines that accept the tables and that keep the accepted configuration.
 *
 * <p>The owner of {@link #OWNERSHIP_KEY} watches the tables. The owner and two instances of each
 * failure domain watch the accepted configuration. All other instances receive it from peers.
 */
final class ConfigurationDriver implements MembershipDriver.VersionListener, StateSource {
    /** Ownership key; the instance that owns this key accepts tables. */
    static final String OWNERSHIP_KEY = "configuration";

    private static final String WATCHERS_KEY = "configuration-watch";
    private static final int WATCHERS_PER_DOMAIN = 2;

    /**
     * A connection that becomes silent during a watch call is detected only when the call times
     * out, and an edit must be in force within 5 s; the wait of one call is therefore short. Only
     * the owner and two instances of each failure domain watch, so the cost is a few calls per
     * second for any number of instances.
     */
    private static final Duration MAXIMUM_WATCH_WAIT = Duration.ofSeconds(1);

    private static final Duration TICK = Duration.ofMillis(100);
    private static final ObjectName ACCEPTED = new ObjectName("configuration", "accepted");
    private static final ObjectName ROUTES = new ObjectName("tables", "routes");
    private static final ObjectName POOLS = new ObjectName("tables", "pools");
    private static final ObjectName STATUS = new ObjectName("status", "configuration");

    private final InstanceContext context;
    private final ObjectApi objectApi;
    private final PeerMessageDispatcher peers;
    private final ConfigurationSynchronizer synchronizer;
    private final ConfigurationAcceptor acceptor;
    private final TableCodec tableCodec;
    private final AcceptedConfigurationCodec acceptedCodec;
    private final List<Consumer<Configuration>> listeners = new ArrayList<>();
    private final KindWatch tablesWatch;
    private final KindWatch acceptedWatch;
    private JsonNode routesTable = MissingNode.getInstance();
    private JsonNode poolsTable = MissingNode.getInstance();
    private Optional<ConfigurationStatus> lastStatus = Optional.empty();

    ConfigurationDriver(
            InstanceContext context,
            ObjectApi objectApi,
            PeerMessageDispatcher peers,
            ConfigurationSynchronizer synchronizer,
            ConfigurationAcceptor acceptor) {
        this.context = context;
        this.objectApi = objectApi;
        this.peers = peers;
        this.synchronizer = synchronizer;
        this.acceptor = acceptor;
        this.tableCodec = new TableCodec();
        this.acceptedCodec = new AcceptedConfigurationCodec(tableCodec);
        this.tablesWatch =
                new KindWatch(
                        context,
                        objectApi,
                        "tables",
                        MAXIMUM_WATCH_WAIT,
                        changed -> handleAcceptorEvent(new AcceptorEvent.TablesChanged()));
        this.acceptedWatch =
                new KindWatch(
                        context,
                        objectApi,
                        ACCEPTED.kind(),
                        MAXIMUM_WATCH_WAIT,
                        this::onAcceptedChanged);
        registerMessageHandlers();
    }

    private void registerMessageHandlers() {
        peers.setHandler(
                PeerMessage.ConfigurationRequest.class,
                (from, message) ->
                        handleSynchronizerEvent(
                                new SynchronizerEvent.RequestReceived(
                                        from, message.have(), message.whole())));
        peers.setHandler(
                PeerMessage.ConfigurationRows.class,
                (from, message) ->
                        handleSynchronizerEvent(
                                new SynchronizerEvent.DeltaReceived(from, message.delta())));
        peers.setHandler(
                PeerMessage.ConfigurationWhole.class,
                (from, message) ->
                        handleSynchronizerEvent(
                                new SynchronizerEvent.CompleteConfigurationReceived(
                                        from, message.configuration(), message.digest())));
    }

    /** Adds a listener that is called with each configuration that comes into force. */
    void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
    }

    void start() {
        context.every(
                TICK,
                () -> {
                    handleAcceptorEvent(new AcceptorEvent.Tick());
                    handleSynchronizerEvent(new SynchronizerEvent.Tick());
                });
    }

    Configuration current() {
        return synchronizer.current();
    }

    Optional<ConfigurationStatus> lastStatus() {
        return lastStatus;
    }

    void onOwnershipChanged(Ownership ownership) {
        boolean owner = ownership.isOwner(OWNERSHIP_KEY);
        boolean watcher =
                ownership
                        .ranked(
                                WATCHERS_KEY,
                                WATCHERS_PER_DOMAIN,
                                context.settings().failureDomain())
                        .contains(context.instance());
        tablesWatch.setEnabled(owner);
        acceptedWatch.setEnabled(owner || watcher);
        handleAcceptorEvent(new AcceptorEvent.OwnershipChanged(owner));
    }

    void onServerMemoryChanged(Map<ServerGroup, Long> largestByGroup) {
        handleAcceptorEvent(new AcceptorEvent.ServerMemoryReported(largestByGroup));
    }

    @Override
    public void onNewerConfiguration(InstanceId peer, ConfigurationVersion version) {
        handleSynchronizerEvent(new SynchronizerEvent.PeerVersionReceived(peer, version));
    }

    private void onAcceptedChanged(WatchResult result) {
        for (StoredObject object : result.changed()) {
            if (object.name().equals(ACCEPTED) && object.exists()) {
                readAccepted(object)
                        .ifPresent(
                                accepted ->
                                        handleSynchronizerEvent(
                                                new SynchronizerEvent.StoredConfigurationRead(
                                                        accepted.configuration())));
            }
        }
        handleAcceptorEvent(new AcceptorEvent.TablesChanged());
    }

    private Optional<AcceptedConfiguration> readAccepted(StoredObject object) {
        try {
            return Optional.of(acceptedCodec.read(object));
        } catch (TarragonlugException malformed) {
            context.log()
                    .event(LogEvent.CONFIGURATION_REFUSED)
                    .with("reason", malformed.getMessage())
                    .write();
            return Optional.empty();
        }
    }

    private void handleAcceptorEvent(AcceptorEvent event) {
        for (AcceptorCommand command : acceptor.handle(event, context.now())) {
            execute(command);
        }
    }

    private void execute(AcceptorCommand command) {
        if (command instanceof AcceptorCommand.Read read) {
            readTables(read.number());
        } else if (command instanceof AcceptorCommand.WriteAccepted write) {
            ObjectNode content = acceptedCodec.write(write.content(), routesTable, poolsTable);
            context.onLoop(
                    objectApi.write(ACCEPTED, content, write.expectedObjectVersion()),
                    (version, failure) ->
                            handleAcceptorEvent(
                                    new AcceptorEvent.WriteEnded(
                                            write.number(), writeOutcome(failure))));
        } else if (command instanceof AcceptorCommand.DeliverAccepted accepted) {
            handleSynchronizerEvent(
                    new SynchronizerEvent.StoredConfigurationRead(
                            accepted.accepted().configuration()));
        } else if (command instanceof AcceptorCommand.WriteStatus write) {
            writeStatus(write.status());
        }
    }

    private static WriteOutcome writeOutcome(Throwable failure) {
        if (failure == null) {
            return WriteOutcome.DONE;
        }
        ErrorCode code = Failures.code(failure);
        return switch (code) {
            case WRITE_CONFLICT -> WriteOutcome.CONFLICT;
            case OBJECT_API_UNAVAILABLE, OBJECT_TOO_LARGE -> WriteOutcome.FAILED;
            default -> WriteOutcome.UNKNOWN;
        };
    }

    /**
     * Reads the accepted configuration and then the tables. In this order the tables are never
     * older than the accepted configuration.
     */
    private void readTables(long number) {
        CompletionStage<StoredObject[]> all =
                objectApi
                        .read(ACCEPTED)
                        .thenCompose(
                                accepted ->
                                        objectApi
                                                .read(ROUTES)
                                                .thenCombine(
                                                        objectApi.read(POOLS),
                                                        (routes, pools) ->
                                                                new StoredObject[] {
                                                                    accepted, routes, pools
                                                                }));
        context.onLoop(all, (objects, failure) -> onTablesRead(number, objects, failure));
    }

    private void onTablesRead(long number, StoredObject[] objects, Throwable failure) {
        if (failure != null) {
            handleAcceptorEvent(new AcceptorEvent.ReadFailed(number));
            return;
        }
        StoredObject accepted = objects[0];
        Optional<AcceptedConfiguration> present =
                accepted.exists() ? readAccepted(accepted) : Optional.empty();
        if (accepted.exists() && present.isEmpty()) {
            handleAcceptorEvent(new AcceptorEvent.ReadFailed(number));
            return;
        }
        routesTable = objects[1].content();
        poolsTable = objects[2].content();
        handleAcceptorEvent(
                new AcceptorEvent.ReadDone(
                        number,
                        tableCodec.readRoutes(objects[1], UnknownFields.IGNORE),
                        tableCodec.readPools(objects[2], UnknownFields.IGNORE),
                        present,
                        accepted.version()));
    }

    private void writeStatus(ConfigurationStatus status) {
        lastStatus = Optional.of(status);
        if (!status.faults().isEmpty()) {
            context.log()
                    .event(LogEvent.CONFIGURATION_REFUSED)
                    .with("accepted", status.accepted())
                    .with("faults", status.faults().size())
                    .with("first", status.faults().get(0))
                    .write();
        }
        CompletableFuture<StoredObject> present = objectApi.read(STATUS).toCompletableFuture();
        context.onLoop(
                present,
                (object, failure) -> {
                    if (failure == null) {
                        objectApi.write(STATUS, acceptedCodec.write(status), object.version());
                    }
                });
    }

    private void handleSynchronizerEvent(SynchronizerEvent event) {
        for (SynchronizerCommand command : synchronizer.handle(event, context.now())) {
            execute(command);
        }
    }

    private void execute(SynchronizerCommand command) {
        int version = PeerMessage.FORMAT_VERSION;
        if (command instanceof SynchronizerCommand.Install install) {
            install(install.configuration());
        } else if (command instanceof SynchronizerCommand.Request request) {
            peers.send(
                    request.peer(),
                    new PeerMessage.ConfigurationRequest(
                            version, request.installedVersion(), request.completeRequested()));
        } else if (command instanceof SynchronizerCommand.SendDelta send) {
            peers.send(send.peer(), new PeerMessage.ConfigurationRows(version, send.delta()));
        } else if (command instanceof SynchronizerCommand.SendCompleteConfiguration send) {
            peers.send(
                    send.peer(),
                    new PeerMessage.ConfigurationWhole(
                            version, send.configuration(), send.digest()));
        }
    }

    private void install(Configuration configuration) {
        context.log()
                .event(LogEvent.CONFIGURATION_INSTALLED)
                .with("version", configuration.version())
                .with("routes", configuration.routes().size())
                .with("pools", configuration.pools().size())
                .write();
        context.metrics().configurationVersion().set(configuration.version().value());
        listeners.forEach(listener -> listener.accept(configuration));
    }

    @Override
    public String stateName() {
        return "configuration";
    }

    @Override
    public JsonNode state() {
        ObjectNode state = Json.object();
        state.put("version", synchronizer.current().version().value());
        state.set("routes", tableCodec.writeRoutes(synchronizer.current().routes()));
        state.set("pools", tableCodec.writePools(synchronizer.current().pools()));
        return state;
    }
}
