package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.decision.placement.PlacementCommand;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.peer.PeerTransport;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.TimerService;

/**
 * Exchanges demand and notices between instances: each reports its demand to the holders of order
 * leases, which answer each report, so that an instance that is answered knows the holder to be
 * alive. All holders know the demand, since any of them may have to plan.
 */
final class PeerExchange implements PlacementDriver.NoticeListener, RelayingObjectApi.Channel {
    private static final Duration REPORT_PERIOD = Duration.ofMillis(400);

    /** Wants that arise within this time travel in one report. */
    private static final Duration URGENT_JOIN = Duration.ofMillis(2);

    /** An instance that was silent for this long does not get notices any more. */
    private static final Duration REPORTER_VALID = Duration.ofSeconds(3);

    /** How long a noticed replica is believed without a listing that shows it. */
    private static final Duration REPLICA_BELIEVED = Duration.ofMillis(2500);

    private final InstanceId self;
    private final OrderLeases leases;
    private final TimerService timers;
    private final DemandReporter demand;
    private final Map<InstanceId, Instant> reporters = new HashMap<>();
    private final List<PeerMessage.NoticedReplica> replicas = new ArrayList<>();
    private final List<PeerMessage.NoticedExpectation> expectations = new ArrayList<>();
    private PeerTransport transport;
    private ForwardingDriver forwarding;
    private PlacementDriver placement;
    private OrderExecutor executor;
    private RelayingObjectApi store;
    private boolean reportScheduled;
    private boolean noticeScheduled;

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
        timers.subscribe(REPORT_PERIOD, now -> report());
    }

    private void reportSoon() {
        if (!reportScheduled) {
            reportScheduled = true;
            timers.after(
                    URGENT_JOIN,
                    now -> {
                        reportScheduled = false;
                        report();
                    });
        }
    }

    private void report() {
        Map<InstanceId, String> holders = leases.otherHolders();
        boolean holding = !leases.notices().isEmpty();
        if (holders.isEmpty() && !holding) {
            return;
        }
        List<ModelDemand> demands = demand.take(timers.now());
        if (holding) {
            placement.post(new PlacementEvent.DemandReported(self, demands));
        }
        PeerMessage message =
                new PeerMessage.ModelDemandReport(PeerMessage.FORMAT_VERSION, demands);
        holders.forEach(
                (holder, address) ->
                        Addresses.parse(address)
                                .ifPresent(
                                        parsed -> {
                                            transport.learn(holder, parsed);
                                            transport.send(parsed, message);
                                        }));
    }

    /** Handles a message of a peer, on the event loop. */
    void received(InstanceId from, PeerMessage message) {
        Instant now = timers.now();
        if (message instanceof PeerMessage.ModelDemandReport report) {
            reporters.put(from, now);
            placement.post(new PlacementEvent.DemandReported(from, report.demands()));
            notify(from, List.of(), List.of());
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
        InstanceId newest = null;
        for (Map.Entry<InstanceId, Instant> each : reporters.entrySet()) {
            if (newest == null || each.getValue().isAfter(reporters.get(newest))) {
                newest = each.getKey();
            }
        }
        return newest != null
                ? Optional.of(newest)
                : leases.otherHolders().keySet().stream().findFirst();
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
        transport.send(to, message);
    }

    private void noticed(InstanceId from, PeerMessage.PlacementNotice notice, Instant now) {
        leases.noticed(from, notice.leases());
        for (PeerMessage.NoticedReplica replica : notice.replicas()) {
            believe(replica, now);
        }
        for (PeerMessage.NoticedExpectation expectation : notice.expectations()) {
            expect(expectation, now);
        }
    }

    private void believe(PeerMessage.NoticedReplica replica, Instant now) {
        forwarding.post(
                new ForwardingEvent.ReplicaAnnounced(
                        replica.server(),
                        replica.key(),
                        replica.held(),
                        now.plus(REPLICA_BELIEVED)));
    }

    private void expect(PeerMessage.NoticedExpectation expectation, Instant now) {
        forwarding.post(
                new ForwardingEvent.ReadyExpected(
                        expectation.service(),
                        expectation.key(),
                        now.plus(expectation.remaining())));
    }

    @Override
    public void replica(PlacementCommand.AnnounceReplica replica) {
        PeerMessage.NoticedReplica notice =
                new PeerMessage.NoticedReplica(replica.server(), replica.key(), replica.held());
        replicas.add(notice);
        believe(notice, timers.now());
        noticeSoon();
    }

    @Override
    public void expectation(PlacementCommand.AnnounceExpectation expectation) {
        Instant now = timers.now();
        Duration remaining = Duration.between(now, expectation.ready());
        PeerMessage.NoticedExpectation notice =
                new PeerMessage.NoticedExpectation(
                        expectation.service(),
                        expectation.key(),
                        remaining.isNegative() ? Duration.ZERO : remaining);
        expectations.add(notice);
        expect(notice, now);
        noticeSoon();
    }

    private void noticeSoon() {
        if (!noticeScheduled) {
            noticeScheduled = true;
            timers.after(Duration.ZERO, now -> sendNotices(now));
        }
    }

    private void sendNotices(Instant now) {
        noticeScheduled = false;
        reporters.values().removeIf(at -> now.isAfter(at.plus(REPORTER_VALID)));
        for (InstanceId reporter : reporters.keySet()) {
            notify(reporter, replicas, expectations);
        }
        replicas.clear();
        expectations.clear();
    }

    private void notify(
            InstanceId to,
            List<PeerMessage.NoticedReplica> newReplicas,
            List<PeerMessage.NoticedExpectation> newExpectations) {
        transport.send(
                to,
                new PeerMessage.PlacementNotice(
                        PeerMessage.FORMAT_VERSION,
                        leases.notices(),
                        reporters.size(),
                        newReplicas,
                        newExpectations));
    }
}
