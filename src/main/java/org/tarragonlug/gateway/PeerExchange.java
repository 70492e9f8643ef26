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
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.decision.placement.PlacementCommand;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.gateway.DemandReporter.Audience;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.peer.PeerTransport;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.TimerService;

/**
 * Exchanges demand and notices between instances: each reports its demand to the planner, which
 * answers each report and says which holders of leases it hears. The holder that plans next if the
 * planner is lost gets every second report, so that it knows the demand. Holders report to each
 * other, so that each hears whether the others live.
 */
final class PeerExchange implements PlacementDriver.NoticeListener, RelayingObjectApi.Channel {
    private static final Duration REPORT_PERIOD = Duration.ofMillis(400);

    /** Wants that arise within this time travel in one report. */
    private static final Duration URGENT_JOIN = Duration.ofMillis(2);

    /** A holder that has not said for this long that it plans does not count as planner. */
    private static final Duration PLANNER_VALID = Duration.ofMillis(1500);

    /** How long a noticed replica is believed without a listing that shows it. */
    private static final Duration REPLICA_BELIEVED = Duration.ofMillis(2500);

    private final InstanceId self;
    private final OrderLeases leases;
    private final TimerService timers;
    private final DemandReporter demand;
    private final NoticeBoard board = new NoticeBoard();

    /** Holders that said that they plan, and when. */
    private final Map<InstanceId, Instant> planners = new HashMap<>();

    private PeerTransport transport;
    private ForwardingDriver forwarding;
    private PlacementDriver placement;
    private OrderExecutor executor;
    private RelayingObjectApi store;
    private boolean reportScheduled;
    private boolean noticeScheduled;
    private boolean standbyTurn;

    PeerExchange(InstanceId self, OrderLeases leases, TimerService timers) {
        this.self = self;
        this.leases = leases;
        this.timers = timers;
        this.demand = new DemandReporter(this::reportSoon);
    }

    DemandReporter demand() {
        return demand;
    }

    void start(
            PeerTransport opened,
            ForwardingDriver forwardingDriver,
            PlacementDriver placementDriver,
            OrderExecutor orderExecutor,
            RelayingObjectApi storeApi) {
        transport = opened;
        forwarding = forwardingDriver;
        placement = placementDriver;
        executor = orderExecutor;
        store = storeApi;
        timers.subscribe(REPORT_PERIOD, now -> regularReport());
    }

    private void reportSoon() {
        if (!reportScheduled) {
            reportScheduled = true;
            timers.after(
                    URGENT_JOIN,
                    now -> {
                        reportScheduled = false;
                        report(Audience.PLANNER, now);
                    });
        }
    }

    private void regularReport() {
        Instant now = timers.now();
        if (placement.active()) {
            counted(board.size(now));
        }
        report(Audience.PLANNER, now);
        standbyTurn = !standbyTurn;
        if (standbyTurn || leases.holdsAny()) {
            report(Audience.STANDBY, now);
        }
    }

    private void report(Audience audience, Instant now) {
        Map<InstanceId, String> receivers = receivers(audience, now);
        boolean own = leases.holdsAny() && ownAudience() == audience;
        if (receivers.isEmpty() && !own) {
            return;
        }
        List<ModelDemand> demands = demand.take(audience, now);
        if (own) {
            placement.post(new PlacementEvent.DemandReported(self, demands));
        }
        PeerMessage message =
                new PeerMessage.ModelDemandReport(PeerMessage.FORMAT_VERSION, demands);
        receivers.forEach((holder, address) -> send(holder, address, message));
    }

    private void send(InstanceId holder, String address, PeerMessage message) {
        Optional<InetSocketAddress> parsed = Addresses.parse(address);
        if (parsed.isPresent()) {
            transport.setAddress(holder, parsed.get());
            transport.send(parsed.get(), message);
        }
    }

    private Audience ownAudience() {
        return placement.active() ? Audience.PLANNER : Audience.STANDBY;
    }

    /**
     * Returns the holders that a report goes to. While nobody is known to plan, each holder counts
     * as the planner. Of the others, a holder reports to all, another instance to the first.
     */
    private Map<InstanceId, String> receivers(Audience audience, Instant now) {
        planners.values().removeIf(at -> now.isAfter(at.plus(PLANNER_VALID)));
        Map<InstanceId, String> receivers = new LinkedHashMap<>(leases.otherHolders());
        boolean unknown = planners.isEmpty() && !placement.active();
        boolean toPlanner = audience == Audience.PLANNER;
        receivers
                .keySet()
                .removeIf(holder -> (unknown || planners.containsKey(holder)) != toPlanner);
        if (!toPlanner && !leases.holdsAny()) {
            receivers.keySet().stream()
                    .findFirst()
                    .ifPresent(first -> receivers.keySet().retainAll(Set.of(first)));
        }
        return receivers;
    }

    /** Handles a message of a peer, on the event loop. */
    void received(InstanceId from, PeerMessage message) {
        Instant now = timers.now();
        if (message instanceof PeerMessage.ModelDemandReport report) {
            board.reported(from, report.demands(), now);
            placement.post(new PlacementEvent.DemandReported(from, report.demands()));
            tell(from, now);
        } else if (message instanceof PeerMessage.PlacementNotice notice) {
            noticed(from, notice, now);
        } else if (message instanceof PeerMessage.OrderCall call) {
            executor.asked(from, call);
        } else if (message instanceof PeerMessage.OrderCallAnswer answer) {
            executor.answered(answer.call(), answer.result());
        } else if (message instanceof PeerMessage.ObjectCall call) {
            store.asked(from, call);
        } else if (message instanceof PeerMessage.ObjectCallAnswer answer) {
            store.answered(answer);
        }
    }

    /** A holder asks an instance that reports to it; the others ask a holder. */
    @Override
    public Optional<InstanceId> relay() {
        Optional<InstanceId> newest = board.newest();
        return newest.isPresent() ? newest : leases.otherHolders().keySet().stream().findFirst();
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
        transport.send(to, message);
    }

    private void noticed(InstanceId from, PeerMessage.PlacementNotice notice, Instant now) {
        leases.noticed(from, notice.leases());
        if (notice.planning()) {
            planners.put(from, now);
            counted(notice.reporters());
        } else {
            planners.remove(from);
        }
        for (PeerMessage.ReplicaChange replica : notice.replicas()) {
            believe(replica, now);
        }
        for (PeerMessage.ReadinessEstimate expectation : notice.expectations()) {
            expect(expectation, now);
        }
    }

    /** The planner counts the instances that report to it; itself comes on top. */
    private void counted(int reporters) {
        forwarding.post(new ForwardingEvent.InstancesCounted(reporters + 1));
    }

    private void believe(PeerMessage.ReplicaChange replica, Instant now) {
        forwarding.post(
                new ForwardingEvent.ReplicaAnnounced(
                        replica.server(),
                        replica.key(),
                        replica.held(),
                        now.plus(REPLICA_BELIEVED)));
    }

    private void expect(PeerMessage.ReadinessEstimate expectation, Instant now) {
        forwarding.post(
                new ForwardingEvent.ReadyExpected(
                        expectation.service(),
                        expectation.key(),
                        now.plus(expectation.remaining())));
    }

    @Override
    public void replica(PlacementCommand.AnnounceReplica replica) {
        PeerMessage.ReplicaChange notice =
                new PeerMessage.ReplicaChange(replica.server(), replica.key(), replica.held());
        board.add(notice);
        believe(notice, timers.now());
        noticeSoon();
    }

    @Override
    public void expectation(PlacementCommand.AnnounceExpectation expectation) {
        Instant now = timers.now();
        Duration remaining = Duration.between(now, expectation.ready());
        PeerMessage.ReadinessEstimate notice =
                new PeerMessage.ReadinessEstimate(
                        expectation.service(),
                        expectation.key(),
                        remaining.isNegative() ? Duration.ZERO : remaining);
        board.add(notice);
        expect(notice, now);
        noticeSoon();
    }

    private void noticeSoon() {
        if (!noticeScheduled) {
            noticeScheduled = true;
            timers.after(Duration.ZERO, this::sendUrgentNotices);
        }
    }

    private void sendUrgentNotices(Instant now) {
        noticeScheduled = false;
        for (InstanceId reporter : board.urgent()) {
            tell(reporter, now);
        }
    }

    private void tell(InstanceId to, Instant now) {
        NoticeBoard.Notices notices = board.take(to);
        transport.send(
                to,
                new PeerMessage.PlacementNotice(
                        PeerMessage.FORMAT_VERSION,
                        leases.notices(),
                        placement.active(),
                        board.size(now),
                        notices.replicas(),
                        notices.expectations()));
    }
}
