package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.InFlightTotals;
import org.tarragonlug.decision.forwarding.PaceTotals;
import org.tarragonlug.decision.placement.DemandCollector;
import org.tarragonlug.decision.placement.DemandCollector.Audience;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.decision.placement.PlacementCommand;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.decision.quota.AllowanceNotice;
import org.tarragonlug.decision.watching.FollowedSource;
import org.tarragonlug.decision.watching.WatchCandidate;
import org.tarragonlug.decision.watching.WatchSource;
import org.tarragonlug.decision.watching.WatchSourceSelector;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.peer.PeerTransport;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.TimerService;

/**
 * Exchanges demand reports, notices and relayed calls with the other instances.
 *
 * <p>Each instance reports its demand to the planner. The receiver of a report answers it with a
 * notice, which also lists the lease holders that the receiver gets messages from. The lease holder
 * that takes over if the planner is lost receives every second report, so it already knows the
 * demand. Lease holders report to each other every time, so each can tell whether the others are
 * alive.
 */
final class PeerExchange
        implements PlacementDriver.NoticeListener,
                RelayingObjectApi.PeerChannel,
                QuarantineDriver.Channel,
                QuotaDriver.Channel {
    private static final Duration REPORT_PERIOD = Duration.ofMillis(400);

    /** Delay of an urgent report, so that waits that start at almost the same time share it. */
    private static final Duration URGENT_REPORT_DELAY = Duration.ofMillis(2);

    /**
     * A lease holder counts as the planner for this long after its last notice in which {@code
     * planning} is set.
     */
    private static final Duration PLANNER_TIMEOUT = Duration.ofMillis(1500);

    /** How long an announced change of a replica is assumed without a listing that confirms it. */
    private static final Duration ANNOUNCED_REPLICA_VALIDITY = Duration.ofMillis(2500);

    private final InstanceId self;
    private final OrderLeases leases;
    private final TimerService timers;
    private final DemandCollector demandCollector;
    private final PendingNotices pendingNotices = new PendingNotices();
    private final InFlightTotals inFlightTotals = new InFlightTotals();
    private final PaceTotals paceTotals = new PaceTotals();
    private final WatchSourceSelector sourceSelector = new WatchSourceSelector();
    private final FollowedSource followedSource;
    private final QuotaDriver quotas;
    private final WatchCandidate candidate;

    /** Time of the last notice from each lease holder that said that it plans. */
    private final Map<InstanceId, Instant> planningSignals = new HashMap<>();

    private PeerTransport transport;
    private ForwardingDriver forwarding;
    private PlacementDriver placement;
    private OrderExecutor executor;
    private RelayingObjectApi store;
    private QuarantineDriver quarantine;
    private boolean reportScheduled;
    private boolean noticesScheduled;
    private boolean standbyReportDue;

    PeerExchange(
            InstanceId self,
            WatchCandidate candidate,
            OrderLeases leases,
            FollowedSource followedSource,
            QuotaDriver quotas,
            TimerService timers) {
        this.self = self;
        this.candidate = candidate;
        this.followedSource = followedSource;
        this.quotas = quotas;
        this.leases = leases;
        this.timers = timers;
        this.demandCollector = new DemandCollector(this::scheduleUrgentReport);
    }

    DemandCollector demandCollector() {
        return demandCollector;
    }

    void start(
            PeerTransport peerTransport,
            ForwardingDriver forwardingDriver,
            PlacementDriver placementDriver,
            OrderExecutor orderExecutor,
            RelayingObjectApi storeApi,
            QuarantineDriver quarantineDriver) {
        transport = peerTransport;
        forwarding = forwardingDriver;
        placement = placementDriver;
        executor = orderExecutor;
        store = storeApi;
        quarantine = quarantineDriver;
        timers.schedulePeriodically(REPORT_PERIOD, now -> sendRegularReports());
    }

    private void scheduleUrgentReport() {
        if (!reportScheduled) {
            reportScheduled = true;
            timers.scheduleOnce(
                    URGENT_REPORT_DELAY,
                    now -> {
                        reportScheduled = false;
                        sendReport(Audience.PLANNER, now);
                    });
        }
    }

    private void sendRegularReports() {
        Instant now = timers.now();
        if (placement.isPlanning()) {
            int reporters = pendingNotices.reporterCount(now);
            publishInstanceCount(reporters);
            quotas.onInstancesCounted(reporters + 1, now);
            forwarding.post(
                    new ForwardingEvent.LoadAnnounced(
                            inFlightTotals.totals(now),
                            placement.suspectedServers(),
                            paceTotals.learnt(now),
                            paceTotals.stated(now)));
            placement.onPacesLearnt(paceTotals.learnt(now));
        }
        quotas.tick(now);
        sendReport(Audience.PLANNER, now);
        standbyReportDue = !standbyReportDue;
        if (standbyReportDue || leases.isOrWasHolder()) {
            sendReport(Audience.STANDBY, now);
        }
    }

    private void sendReport(Audience audience, Instant now) {
        Map<InstanceId, String> receivers = receivers(audience, now);
        boolean includesSelf = leases.isOrWasHolder() && ownAudience() == audience;
        if (receivers.isEmpty() && !includesSelf) {
            return;
        }
        List<ModelDemand> demands = demandCollector.collect(audience, now);
        Map<ServerId, Integer> inFlight = forwarding.inFlight();
        Set<ServerId> unreachable = forwarding.unreachableServers();
        boolean toPlanner = audience == Audience.PLANNER;
        Map<ServerId, Integer> answerPaces = toPlanner ? forwarding.takeAnswerPaces() : Map.of();
        Map<ServerId, Integer> statedPaces = toPlanner ? forwarding.statedPaces() : Map.of();
        if (placement.isPlanning()) {
            paceTotals.onReport(answerPaces, statedPaces, now);
            inFlightTotals.onReport(self, inFlight, now);
            placement.post(new PlacementEvent.ServersUnreachable(self, unreachable));
        }
        if (includesSelf) {
            placement.post(new PlacementEvent.DemandReported(self, demands));
        }
        Optional<QuotaDriver.AddressedRequest> request =
                audience == Audience.PLANNER ? quotas.nextRequest(now) : Optional.empty();
        receivers.forEach(
                (holder, address) ->
                        send(
                                holder,
                                address,
                                new GatewayMessage.ModelDemandReport(
                                        PeerMessage.FORMAT_VERSION,
                                        demands,
                                        inFlight,
                                        List.copyOf(unreachable),
                                        answerPaces,
                                        statedPaces,
                                        Optional.of(candidate),
                                        request.flatMap(each -> each.forLender(holder)))));
    }

    private void send(InstanceId holder, String address, PeerMessage message) {
        Optional<InetSocketAddress> parsed = Addresses.parse(address);
        if (parsed.isPresent()) {
            transport.setAddress(holder, parsed.get());
            transport.send(parsed.get(), message);
        }
    }

    private Audience ownAudience() {
        return placement.isPlanning() ? Audience.PLANNER : Audience.STANDBY;
    }

    /**
     * Returns the other lease holders that a report is sent to, with their addresses. While no
     * planner is known, every holder counts as a planner. A standby report goes to all holders that
     * do not plan if this instance is a holder itself, and otherwise only to the first of them.
     */
    private Map<InstanceId, String> receivers(Audience audience, Instant now) {
        removeOldPlanningSignals(now);
        Map<InstanceId, String> receivers = new LinkedHashMap<>(leases.otherHolders());
        boolean plannerUnknown = planningSignals.isEmpty() && !placement.isPlanning();
        boolean toPlanner = audience == Audience.PLANNER;
        receivers
                .keySet()
                .removeIf(
                        holder ->
                                (plannerUnknown || planningSignals.containsKey(holder))
                                        != toPlanner);
        if (!toPlanner && !leases.isOrWasHolder()) {
            receivers.keySet().stream()
                    .findFirst()
                    .ifPresent(first -> receivers.keySet().retainAll(Set.of(first)));
        }
        return receivers;
    }

    private void removeOldPlanningSignals(Instant now) {
        planningSignals.values().removeIf(at -> now.isAfter(at.plus(PLANNER_TIMEOUT)));
    }

    /** Handles a message from a peer. Must be called on the event loop. */
    void onMessage(InstanceId from, PeerMessage message) {
        Instant now = timers.now();
        if (message instanceof GatewayMessage.ModelDemandReport report) {
            pendingNotices.onReport(from, report.demands(), now);
            inFlightTotals.onReport(from, report.inFlight(), now);
            paceTotals.onReport(report.answerPaces(), report.statedPaces(), now);
            report.candidate().ifPresent(offered -> sourceSelector.onReport(from, offered, now));
            placement.post(new PlacementEvent.DemandReported(from, report.demands()));
            placement.post(
                    new PlacementEvent.ServersUnreachable(from, Set.copyOf(report.unreachable())));
            sendNotice(from, report.quota().flatMap(each -> quotas.lend(from, each, now)), now);
        } else if (message instanceof GatewayMessage.PlacementNotice notice) {
            onPlacementNotice(from, notice, now);
            notice.quota().ifPresent(each -> quotas.onGrants(from, each, now));
        } else if (message instanceof GatewayMessage.QuotaCall call) {
            quotas.onCall(from, call, now);
        } else if (message instanceof GatewayMessage.QuotaGrant answer) {
            quotas.onGrants(from, answer.quota(), now);
        } else if (message instanceof GatewayMessage.OrderCall call) {
            executor.onOrderCall(from, call);
        } else if (message instanceof GatewayMessage.OrderCallAnswer answer) {
            executor.completeCall(answer.call(), answer.result());
        } else if (message instanceof GatewayMessage.ObjectCall call) {
            store.onObjectCall(from, call);
        } else if (message instanceof GatewayMessage.ObjectCallAnswer answer) {
            store.onObjectCallAnswer(answer);
        } else {
            quarantine.onMessage(message);
        }
    }

    /**
     * Returns the peer whose report was received last. An instance that receives no reports,
     * because it holds no lease, uses one of the lease holders.
     */
    @Override
    public Optional<InstanceId> relayPeer() {
        Optional<InstanceId> latest = pendingNotices.latestReporter();
        return latest.isPresent() ? latest : leases.otherHolders().keySet().stream().findFirst();
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
        transport.send(to, message);
    }

    @Override
    public void sendToDeciders(PeerMessage message) {
        leases.otherHolders().forEach((holder, address) -> send(holder, address, message));
    }

    @Override
    public void sendToDecidingInstance(PeerMessage message) {
        decidingInstances().forEach(each -> transport.send(each, message));
    }

    @Override
    public void sendToReporters(PeerMessage message) {
        pendingNotices.reporters(timers.now()).forEach(each -> transport.send(each, message));
    }

    @Override
    public boolean isDeciding() {
        return placement.isPlanning();
    }

    @Override
    public Set<InstanceId> decidingInstances() {
        removeOldPlanningSignals(timers.now());
        return Set.copyOf(planningSignals.keySet());
    }

    @Override
    public Optional<WatchSource> watchSource() {
        return placement.isPlanning() ? Optional.empty() : followedSource.current(timers.now());
    }

    @Override
    public boolean isWatchSource() {
        return followedSource.isSource(timers.now());
    }

    @Override
    public void connect(WatchSource source) {
        Addresses.parse(source.address())
                .ifPresent(address -> transport.setAddress(source.instance(), address));
    }

    @Override
    public void onWatchSourceFailed(WatchSource source) {
        followedSource.onFailed(source.instance(), timers.now());
    }

    private void onPlacementNotice(
            InstanceId from, GatewayMessage.PlacementNotice notice, Instant now) {
        leases.onLeaseNotices(from, notice.leases());
        if (notice.planning()) {
            planningSignals.put(from, now);
            publishInstanceCount(notice.reporters());
            if (notice.hasState()) {
                forwarding.post(
                        new ForwardingEvent.LoadAnnounced(
                                notice.inFlight(),
                                Set.copyOf(notice.suspected()),
                                notice.learntPaces(),
                                notice.statedPaces()));
                followedSource.onSelected(notice.watchSources(), now);
            }
        } else {
            planningSignals.remove(from);
        }
        for (GatewayMessage.ReplicaChange replica : notice.replicas()) {
            applyReplica(replica, now);
        }
        for (GatewayMessage.ReadinessEstimate expectation : notice.expectations()) {
            applyExpectation(expectation, now);
        }
    }

    /**
     * Passes the number of instances to the forwarding coordinator: those that report to the
     * planner, and the planner itself.
     */
    private void publishInstanceCount(int reporters) {
        forwarding.post(new ForwardingEvent.InstancesCounted(reporters + 1));
    }

    private void applyReplica(GatewayMessage.ReplicaChange replica, Instant now) {
        forwarding.post(
                new ForwardingEvent.ReplicaAnnounced(
                        replica.server(),
                        replica.key(),
                        replica.held(),
                        now.plus(ANNOUNCED_REPLICA_VALIDITY)));
    }

    private void applyExpectation(GatewayMessage.ReadinessEstimate expectation, Instant now) {
        forwarding.post(
                new ForwardingEvent.ModelReadyExpected(
                        expectation.service(),
                        expectation.key(),
                        now.plus(expectation.remaining())));
    }

    @Override
    public void onReplicaAnnounced(PlacementCommand.AnnounceReplica replica) {
        GatewayMessage.ReplicaChange notice =
                new GatewayMessage.ReplicaChange(replica.server(), replica.key(), replica.held());
        pendingNotices.add(notice);
        applyReplica(notice, timers.now());
        scheduleUrgentNotices();
    }

    @Override
    public void onExpectationAnnounced(PlacementCommand.AnnounceExpectation expectation) {
        Instant now = timers.now();
        Duration remaining = Duration.between(now, expectation.ready());
        GatewayMessage.ReadinessEstimate notice =
                new GatewayMessage.ReadinessEstimate(
                        expectation.service(),
                        expectation.key(),
                        remaining.isNegative() ? Duration.ZERO : remaining);
        pendingNotices.add(notice);
        applyExpectation(notice, now);
        scheduleUrgentNotices();
    }

    private void scheduleUrgentNotices() {
        if (!noticesScheduled) {
            noticesScheduled = true;
            timers.scheduleOnce(Duration.ZERO, this::sendUrgentNotices);
        }
    }

    private void sendUrgentNotices(Instant now) {
        noticesScheduled = false;
        for (InstanceId reporter : pendingNotices.urgentReceivers()) {
            sendNotice(reporter, Optional.empty(), now);
        }
    }

    private void sendNotice(InstanceId to, Optional<AllowanceNotice> allowance, Instant now) {
        PendingNotices.Notices notices = pendingNotices.poll(to);
        boolean planning = placement.isPlanning();
        List<GatewayMessage.LeaseStatus> leaseNotices = leases.leaseNotices();
        Set<ServerId> suspected = planning ? placement.suspectedServers() : Set.of();
        boolean withState =
                !planning || pendingNotices.isStateDue(to, leaseNotices, suspected, now);
        boolean withPlannerState = planning && withState;
        transport.send(
                to,
                new GatewayMessage.PlacementNotice(
                        PeerMessage.FORMAT_VERSION,
                        withState ? leaseNotices : List.of(),
                        planning,
                        pendingNotices.reporterCount(now),
                        notices.replicas(),
                        notices.expectations(),
                        withPlannerState ? inFlightTotals.totals(now) : Map.of(),
                        withPlannerState ? List.copyOf(suspected) : List.of(),
                        withPlannerState ? paceTotals.learntIfDue(REPORT_PERIOD, now) : Map.of(),
                        withPlannerState ? paceTotals.stated(now) : Map.of(),
                        withPlannerState ? sourceSelector.sourcesFor(to, now) : List.of(),
                        allowance));
    }
}
