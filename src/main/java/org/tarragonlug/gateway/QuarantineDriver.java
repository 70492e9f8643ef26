package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.tarragonlug.decision.forwarding.Fleet;
import org.tarragonlug.decision.forwarding.FleetServer;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.quarantine.QuarantineCommand;
import org.tarragonlug.decision.quarantine.QuarantineEvent;
import org.tarragonlug.decision.quarantine.QuarantineManager;
import org.tarragonlug.decision.quarantine.QuarantineRole;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.platform.PlatformEngineClient;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Connects the {@link QuarantineManager} with the requests of this instance, the other instances,
 * the servers and the store.
 *
 * <p>A record of the store bears the era in which it was written. So the record of an older copy
 * from which the store has come back is told from one that was written since.
 *
 * <p>All methods run on the event loop. Events that are posted while commands are executed are
 * handled afterwards.
 */
final class QuarantineDriver implements StoreWatcher.Listener {
    private static final ObjectName RECORD =
            new ObjectName(PlatformKinds.QUARANTINE, PlatformKinds.CURRENT_QUARANTINE);

    /** Sends messages on requests that crash servers to other instances. */
    interface Channel {
        /** Sends a message to the instances that decide or may have to. The message may be lost. */
        void sendToDeciders(PeerMessage message);

        /** Sends a message to the instance that decides for all. The message may be lost. */
        void sendToDecidingInstance(PeerMessage message);

        /** Sends a message to all instances that report to this one. The message may be lost. */
        void sendToReporters(PeerMessage message);

        /** Returns whether this instance decides for all. */
        boolean isDeciding();

        /** Returns the instances that have lately said that they decide. */
        Set<InstanceId> decidingInstances();
    }

    private final QuarantineManager manager;
    private final PlatformEngineClient engines;
    private final Fleet fleet;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Deque<QuarantineEvent> eventQueue = new ArrayDeque<>();
    private Channel channel;
    private ForwardingDriver forwarding;
    private ObjectApi store;
    private Supplier<StoreEra> era;
    private QuarantineRole role = QuarantineRole.ALONE;
    private Set<InstanceId> deciders = Set.of();

    /** Where the record was read or written last. */
    private StorePosition storedPosition = StorePosition.START;

    /** Era that the last record states, and its revision; it was written there. */
    private StorePosition writtenAt = StorePosition.START;

    private boolean processing;

    QuarantineDriver(
            QuarantineManager manager,
            PlatformEngineClient engines,
            Fleet fleet,
            Executor loop,
            TimerService timers,
            EventLog log,
            GatewayMetrics metrics) {
        this.manager = manager;
        this.engines = engines;
        this.fleet = fleet;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Connects the parts that are created after the driver.
     *
     * @param presentEra the present era of the store
     */
    void start(
            Channel peerChannel,
            ForwardingDriver forwardingDriver,
            ObjectApi objectApi,
            Supplier<StoreEra> presentEra) {
        channel = peerChannel;
        forwarding = forwardingDriver;
        store = objectApi;
        era = presentEra;
    }

    /** Updates the role of this instance and drives what is due. */
    void tick() {
        QuarantineRole newRole = currentRole();
        Set<InstanceId> newDeciders = channel.decidingInstances();
        if (newRole != role || !newDeciders.equals(deciders)) {
            role = newRole;
            deciders = newDeciders;
            post(new QuarantineEvent.RoleChanged(role));
        }
        post(new QuarantineEvent.Tick());
    }

    private QuarantineRole currentRole() {
        if (channel.isDeciding()) {
            return QuarantineRole.DECIDES;
        }
        return channel.decidingInstances().isEmpty()
                ? QuarantineRole.ALONE
                : QuarantineRole.FOLLOWS;
    }

    void onRequestLost(ForwardingCommand.ReportRequestLost lost) {
        post(new QuarantineEvent.RequestLost(lost.server(), lost.request()));
    }

    void onAnswerBegun(ForwardingCommand.ReportAnswerBegun begun) {
        post(new QuarantineEvent.AnswerBegun(begun.traits()));
    }

    void onServerAnswered(ForwardingCommand.ReportServerAnswered answered) {
        if (manager.hasNoticedLoss(answered.server())) {
            post(new QuarantineEvent.ServerAnswered(answered.server(), answered.sentAt()));
        }
    }

    /** Records that the platform no longer lists this run of a server. */
    void onServerGone(ServerIncarnation server) {
        post(new QuarantineEvent.ServerGone(server));
    }

    /** Handles a message of another instance; ignores other kinds. */
    void onMessage(PeerMessage message) {
        if (message instanceof GatewayMessage.ServerLossReport report) {
            post(new QuarantineEvent.LossesReported(report.losses()));
        } else if (message instanceof GatewayMessage.AnswerReport report) {
            post(new QuarantineEvent.AnswersReported(report.answers()));
        } else if (message instanceof GatewayMessage.QuarantineNotice notice) {
            post(
                    new QuarantineEvent.DecisionsAnnounced(
                            Set.copyOf(notice.quarantined()), notice.watched()));
        }
    }

    private void post(QuarantineEvent event) {
        eventQueue.add(event);
        if (processing) {
            return;
        }
        processing = true;
        try {
            for (QuarantineEvent next = eventQueue.poll(); next != null; next = eventQueue.poll()) {
                manager.handle(next, timers.now()).forEach(this::execute);
            }
        } finally {
            processing = false;
        }
    }

    private void execute(QuarantineCommand command) {
        if (command instanceof QuarantineCommand.CheckServer check) {
            checkServer(check.server());
        } else if (command instanceof QuarantineCommand.ScheduleTick tick) {
            timers.scheduleOnce(tick.delay(), now -> post(new QuarantineEvent.Tick()));
        } else if (command instanceof QuarantineCommand.ReportLosses report) {
            channel.sendToDeciders(
                    new GatewayMessage.ServerLossReport(
                            PeerMessage.FORMAT_VERSION, report.losses()));
        } else if (command instanceof QuarantineCommand.ReportAnswers report) {
            channel.sendToDecidingInstance(
                    new GatewayMessage.AnswerReport(PeerMessage.FORMAT_VERSION, report.answers()));
        } else if (command instanceof QuarantineCommand.AnnounceDecisions decisions) {
            channel.sendToReporters(
                    new GatewayMessage.QuarantineNotice(
                            PeerMessage.FORMAT_VERSION,
                            List.copyOf(decisions.quarantined()),
                            decisions.watched()));
        } else if (command instanceof QuarantineCommand.Store wanted) {
            writeRecord(wanted.quarantined());
        } else if (command instanceof QuarantineCommand.Apply apply) {
            apply(apply.quarantined());
        } else if (command instanceof QuarantineCommand.AllowTrial trial) {
            log.event(LogEvent.QUARANTINE_TRIAL).with("trait", trial.trait()).write();
            forwarding.post(new ForwardingEvent.TrialAllowed(trial.trait()));
        } else {
            logDecision(command);
        }
    }

    private void apply(Set<RequestTrait> quarantined) {
        metrics.setQuarantinedTraits(quarantined.size());
        log.event(LogEvent.QUARANTINE_APPLIED)
                .with("role", role)
                .with("traits", quarantined)
                .write();
        forwarding.post(new ForwardingEvent.QuarantineChanged(quarantined));
    }

    private void logDecision(QuarantineCommand command) {
        if (command instanceof QuarantineCommand.LogConviction conviction) {
            log.event(LogEvent.REQUEST_QUARANTINED)
                    .with("trait", conviction.trait())
                    .with("role", role)
                    .with("lost_servers", conviction.lostServers())
                    .with("lost_requests", conviction.lostRequests())
                    .write();
        } else if (command instanceof QuarantineCommand.LogRelease release) {
            log.event(LogEvent.REQUEST_RELEASED)
                    .with("trait", release.trait())
                    .with("role", role)
                    .with("reason", release.reason())
                    .write();
        } else if (command instanceof QuarantineCommand.LogLoss loss) {
            metrics.recordServerLoss();
            log.event(LogEvent.SERVER_LOST)
                    .with("server", loss.server().server())
                    .with("requests", loss.requests())
                    .write();
        }
    }

    private void checkServer(ServerIncarnation server) {
        Optional<InetSocketAddress> address =
                fleet.server(server.server())
                        .filter(known -> known.incarnation().equals(server))
                        .map(FleetServer::listing)
                        .flatMap(listing -> Addresses.parse(listing.address()));
        if (address.isEmpty()) {
            post(new QuarantineEvent.ServerChecked(server, false));
            return;
        }
        engines.isAlive(server.server(), address.get())
                .whenCompleteAsync(
                        (alive, failure) -> {
                            boolean answered = failure == null && alive;
                            post(new QuarantineEvent.ServerChecked(server, answered));
                        },
                        loop);
    }

    // The stored record

    /** Handles that the store has come back from another copy; nothing of it was used yet. */
    void onStoreEra() {
        post(new QuarantineEvent.StoreRestored());
    }

    private void writeRecord(Set<RequestTrait> wanted) {
        if (!storedPosition.era().equals(era.get())) {
            return;
        }
        store.write(RECORD, QuarantineRecord.encode(wanted, era.get()), storedPosition.revision())
                .whenCompleteAsync(
                        (written, failure) -> {
                            if (failure == null) {
                                onWritten(wanted, inPresentEra(written));
                            } else if (isConflict(failure)) {
                                readRecord();
                            }
                            // After any other failure the manager asks again.
                        },
                        loop);
    }

    private void onWritten(Set<RequestTrait> wanted, StorePosition written) {
        if (!written.era().equals(era.get())) {
            return;
        }
        storedPosition = storedPosition.isAfter(written) ? storedPosition : written;
        writtenAt = storedPosition;
        post(new QuarantineEvent.StoredRead(wanted));
    }

    /** Returns a position with the present era if the store has stated none with it. */
    private StorePosition inPresentEra(StorePosition read) {
        return read.era().isStated() ? read : new StorePosition(era.get(), read.revision());
    }

    private static boolean isConflict(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof TarragonlugException typed
                && typed.code() == ErrorCode.WRITE_CONFLICT;
    }

    private void readRecord() {
        store.read(RECORD)
                .whenCompleteAsync(
                        (object, failure) -> {
                            if (failure == null) {
                                onRecord(object);
                            }
                        },
                        loop);
    }

    @Override
    public void onChanged(StoredObject object) {
        if (object.name().equals(RECORD)) {
            onRecord(object);
        }
    }

    private void onRecord(StoredObject object) {
        StorePosition read = inPresentEra(object.position());
        if (storedPosition.isAfter(read)) {
            return;
        }
        boolean firstInEra = !storedPosition.era().equals(read.era());
        storedPosition = read;
        try {
            post(readEvent(object, firstInEra));
        } catch (IllegalArgumentException unreadable) {
            log.event(LogEvent.STORE_ENTRY_UNREADABLE)
                    .with("object", object.name())
                    .with("detail", unreadable.getMessage())
                    .write();
        }
    }

    /**
     * Returns what a record tells. The first one that is read in an era may be the older copy's.
     *
     * @param firstInEra whether no record was read in the present era before
     */
    private QuarantineEvent readEvent(StoredObject object, boolean firstInEra) {
        Set<RequestTrait> traits =
                object.exists() ? QuarantineRecord.decode(object.content()) : Set.of();
        StorePosition before = writtenAt;
        writtenAt = new StorePosition(QuarantineRecord.era(object.content()), object.version());
        return firstInEra && !writtenAt.era().equals(storedPosition.era())
                ? new QuarantineEvent.EarlierRecordRead(traits, isLater(writtenAt, before))
                : new QuarantineEvent.StoredRead(traits);
    }

    /** Tells whether a record was written after another one, by the eras that they state. */
    private static boolean isLater(StorePosition written, StorePosition other) {
        return written.isAfter(other) || written.era().compareTo(other.era()) > 0;
    }

    @Override
    public void onRemoved(String name) {
        boolean existed =
                storedPosition.era().equals(era.get())
                        && storedPosition.revision() != StoredObject.ABSENT;
        if (name.equals(RECORD.name()) && existed) {
            storedPosition = new StorePosition(era.get(), StoredObject.ABSENT);
            post(new QuarantineEvent.StoredRead(Set.of()));
        }
    }

    @Override
    public void onInitialListComplete() {
        if (storedPosition.revision() == StoredObject.ABSENT) {
            storedPosition = new StorePosition(era.get(), StoredObject.ABSENT);
            post(new QuarantineEvent.StoredRead(Set.of()));
        }
    }

    /** Handles that the store has reported all that it has, and no record in a new era. */
    @Override
    public void onAnswered(Instant began) {
        if (!storedPosition.era().equals(era.get())) {
            storedPosition = new StorePosition(era.get(), StoredObject.ABSENT);
            post(new QuarantineEvent.EarlierRecordRead(Set.of(), false));
        }
    }
}
