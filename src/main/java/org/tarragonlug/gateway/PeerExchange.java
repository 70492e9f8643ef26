package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.ownership.LeaseEvent;
import org.tarragonlug.decision.ownership.LeaseKeeper;
import org.tarragonlug.decision.ownership.LeaseRecord;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.decision.placement.PlacementCommand;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.peer.PeerTransport;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.TimerService;

/**
 * Exchanges demand and notices between instances: each reports its demand to the lease's holder,
 * which answers each report, so that an instance that is answered knows the holder to be alive.
 */
final class PeerExchange
        implements PlacementDriver.NoticeListener, RelayingObjectApi.Channel {
    private static final Duration REPORT_PERIOD = Duration.ofMillis(400);

    /** Wants that arise within this time travel in one report. */
    private static final Duration URGENT_JOIN = Duration.ofMillis(2);

    /** An instance that was silent for this long does not get notices any more. */
    private static final Duration REPORTER_VALID = Duration.ofSeconds(3);

    /** How long a noticed replica is believed without a listing that shows it. */
    private static final Duration REPLICA_BELIEVED = Duration.ofMillis(2500);

    private final InstanceId self;
    private final LeaseKeeper keeper;
    private final TimerService timers;
    private final DemandReporter demand;
    private final Map<InstanceId, Instant> reporters = new HashMap<>();
    private final List<PeerMessage.NoticedReplica> replicas = new ArrayList<>();
    private final List<PeerMessage.NoticedExpectation> expectations = new ArrayList<>();
    private PeerTransport transport;
    private ForwardingDriver forwarding;
    private PlacementDriver placement;
    private LeaseDriver lease;
    private RelayingObjectApi store;
    private boolean reportScheduled;
    private boolean noticeScheduled;

    PeerExchange(InstanceId self, LeaseKeeper keeper, TimerService timers) {
        this.self = self;
        this.keeper = keeper;
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
            LeaseDriver leaseDriver,
            RelayingObjectApi storeApi) {
        transport = opened;
        forwarding = forwardingDriver;
        placement = placementDriver;
        lease = leaseDriver;
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
        Instant now = timers.now();
        Optional<LeaseRecord> seen = keeper.seen();
        if (seen.isEmpty()) {
            return;
        }
        if (seen.get().holder().equals(self)) {
            placement.post(new PlacementEvent.DemandReported(self, demand.take(now)));
            return;
        }
        Optional<InetSocketAddress> address = Addresses.parse(seen.get().address());
        if (address.isPresent()) {
            transport.learn(seen.get().holder(), address.get());
            List<ModelDemand> demands = demand.take(now);
            transport.send(
                    address.get(),
                    new PeerMessage.ModelDemandReport(PeerMessage.FORMAT_VERSION, demands));
        }
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
        } else if (message instanceof PeerMessage.ObjectCall call) {
            store.asked(from, call);
        } else if (message instanceof PeerMessage.ObjectCallAnswer answer) {
            store.answered(answer);
        }
    }

    /** The holder asks an instance that reports to it; the others ask the holder. */
    @Override
    public Optional<InstanceId> relay() {
        Optional<InstanceId> holder = keeper.seen().map(LeaseRecord::holder);
        if (holder.isPresent() && !holder.get().equals(self)) {
            return holder;
        }
        InstanceId newest = null;
        for (Map.Entry<InstanceId, Instant> each : reporters.entrySet()) {
            if (newest == null || each.getValue().isAfter(reporters.get(newest))) {
                newest = each.getKey();
            }
        }
        return Optional.ofNullable(newest);
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
        transport.send(to, message);
    }

    private void noticed(InstanceId from, PeerMessage.PlacementNotice notice, Instant now) {
        boolean holder =
                keeper.seen().filter(seen -> seen.holder().equals(from)).isPresent();
        if (!holder) {
            return;
        }
        lease.post(new LeaseEvent.HolderHeard(notice.holding(), notice.leaseRevision()));
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
                new PeerMessage.NoticedReplica(
                        replica.server(), replica.key(), replica.held());
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
                        keeper.holding(timers.now()),
                        keeper.seen().map(LeaseRecord::revision).orElse(0L),
                        reporters.size(),
                        newReplicas,
                        newExpectations));
    }
}
