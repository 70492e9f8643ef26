package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ForwardingCoordinator;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.quota.AllowanceNotice;
import org.tarragonlug.decision.quota.AllowanceRequest;
import org.tarragonlug.decision.quota.InstanceTotal;
import org.tarragonlug.decision.quota.QuotaBorrower;
import org.tarragonlug.decision.quota.QuotaChange;
import org.tarragonlug.decision.quota.QuotaLender;
import org.tarragonlug.decision.quota.QuotaTolerance;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Connects the borrower and the lender of this instance with the messages between instances.
 * Requests for allowance travel with the regular reports, and between them as messages of their own
 * while requests of callers wait. Without quotas in the configuration nothing is sent.
 */
final class QuotaDriver {
    /** Delay of a call for allowance, so that requests that arrive almost together share it. */
    private static final Duration CALL_DELAY = Duration.ofMillis(2);

    /** What this driver needs of the exchange between instances. */
    interface Channel {
        /** Returns the other instances that said recently that they plan. */
        Set<InstanceId> decidingInstances();

        /** Sends a message to a connected instance. */
        void send(InstanceId to, PeerMessage message);
    }

    /**
     * A request for allowance, and which instance it is for.
     *
     * @param lender the receiver
     * @param request the request
     */
    record AddressedRequest(InstanceId lender, AllowanceRequest request) {
        /** Returns the request if it is for this instance. */
        Optional<AllowanceRequest> forLender(InstanceId receiver) {
            return receiver.equals(lender) ? Optional.of(request) : Optional.empty();
        }
    }

    private final InstanceId self;
    private final InstanceTotal instances = new InstanceTotal();
    private final QuotaBorrower borrower;
    private final QuotaLender lender;
    private final TimerService timers;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private Channel channel;
    private ForwardingCoordinator coordinator;
    private ForwardingDriver forwarding;
    private PlacementDriver placement;
    private OrderLeases leases;
    private ForwardingTable lentTable;
    private boolean lending;
    private boolean callScheduled;
    private boolean lenderHeard;
    private Optional<InstanceId> loggedLender = Optional.empty();
    private int loggedInstances;

    /**
     * Creates the driver of an instance without allowance.
     *
     * @param tolerance what the platform tolerates beyond quotas; empty if it does not say
     * @param firstNumber random number of the first request for allowance
     */
    QuotaDriver(
            InstanceId self,
            Optional<QuotaTolerance> tolerance,
            long firstNumber,
            TimerService timers,
            EventLog log,
            GatewayMetrics metrics) {
        this.self = self;
        this.borrower = new QuotaBorrower(tolerance, instances, firstNumber);
        this.lender = new QuotaLender(tolerance, instances);
        this.timers = timers;
        this.log = log;
        this.metrics = metrics;
    }

    QuotaBorrower borrower() {
        return borrower;
    }

    void start(
            Channel peers,
            ForwardingCoordinator forwardingCoordinator,
            ForwardingDriver forwardingDriver,
            PlacementDriver placementDriver,
            OrderLeases orderLeases) {
        channel = peers;
        coordinator = forwardingCoordinator;
        forwarding = forwardingDriver;
        placement = placementDriver;
        leases = orderLeases;
    }

    /** Records how many instances report to this one, including itself, while it plans. */
    void onInstancesCounted(int count, Instant now) {
        instances.onCounted(count, leases.hearsAllHolders(), now);
    }

    /** Does what is due before a regular report. */
    void tick(Instant now) {
        updateLending();
        if (borrower.hasQuotas()) {
            report(now);
        } else {
            metrics.setQuota(false, 0);
            borrower.pollChanges().forEach(this::report);
        }
    }

    private void updateLending() {
        if (lending != placement.isPlanning()) {
            lending = placement.isPlanning();
            lender.reset();
        }
    }

    private void report(Instant now) {
        boolean heard = borrower.hearsLender(now);
        if (heard != lenderHeard || !borrower.lender().equals(loggedLender)) {
            lenderHeard = heard;
            loggedLender = borrower.lender();
            log.event(LogEvent.QUOTA_LENDER)
                    .with("lender", loggedLender.map(InstanceId::value).orElse("none"))
                    .with("heard", heard)
                    .write();
        }
        if (instances.current() != loggedInstances) {
            loggedInstances = instances.current();
            log.event(LogEvent.QUOTA_INSTANCES).with("instances", loggedInstances).write();
        }
        metrics.setQuota(heard, loggedInstances);
        borrower.pollChanges().forEach(this::report);
    }

    private void report(QuotaChange change) {
        metrics.changeQuotaExceededAccounts(change.refusing() ? 1 : -1);
        log.event(change.refusing() ? LogEvent.QUOTA_EXCEEDED : LogEvent.QUOTA_ROOM)
                .with("account", change.account())
                .with("refused", change.refused())
                .write();
    }

    /**
     * Returns the request for allowance that the next report should carry; empty if there is none,
     * or this instance is the lender, whose answer then has been applied.
     */
    Optional<AddressedRequest> nextRequest(Instant now) {
        return borrower.asksRecently(now) ? Optional.empty() : request(now);
    }

    private Optional<AddressedRequest> request(Instant now) {
        if (!borrower.hasQuotas()) {
            return Optional.empty();
        }
        Set<InstanceId> planners = new HashSet<>(channel.decidingInstances());
        if (placement.isPlanning()) {
            planners.add(self);
        }
        borrower.onLenders(planners, now);
        Optional<AllowanceRequest> request = borrower.demands(now);
        if (request.isEmpty()) {
            return Optional.empty();
        }
        InstanceId receiver = borrower.lender().orElseThrow();
        if (receiver.equals(self)) {
            lend(self, request.get(), now).ifPresent(notice -> onGrants(self, notice, now));
            return Optional.empty();
        }
        return Optional.of(new AddressedRequest(receiver, request.get()));
    }

    /** Schedules a call for allowance, because a request of a caller waits for it. */
    void scheduleCall() {
        if (!callScheduled) {
            callScheduled = true;
            timers.scheduleOnce(CALL_DELAY, this::call);
        }
    }

    private void call(Instant now) {
        callScheduled = false;
        boolean ownLender = borrower.lender().filter(self::equals).isPresent();
        if (!ownLender && !borrower.hearsLender(now)) {
            // The lender may be of a release that does not know this kind of message.
            return;
        }
        request(now).ifPresent(this::sendCall);
    }

    private void sendCall(AddressedRequest request) {
        metrics.recordQuotaCall();
        channel.send(
                request.lender(),
                new GatewayMessage.QuotaCall(PeerMessage.FORMAT_VERSION, request.request()));
    }

    /** Answers a request for allowance; empty if this instance does not plan. */
    Optional<AllowanceNotice> lend(InstanceId to, AllowanceRequest request, Instant now) {
        updateLending();
        if (!lending || coordinator.table().isEmpty()) {
            return Optional.empty();
        }
        ForwardingTable table = coordinator.table().get();
        if (table != lentTable) {
            lentTable = table;
            lender.onTableInstalled(table.accounts().quotas());
        }
        lender.onDemands(to, now);
        return Optional.of(lender.grantsFor(to, request, now));
    }

    /** Handles a call for allowance. */
    void onCall(InstanceId from, GatewayMessage.QuotaCall call, Instant now) {
        lend(from, call.quota(), now)
                .ifPresent(
                        notice ->
                                channel.send(
                                        from,
                                        new GatewayMessage.QuotaGrant(
                                                PeerMessage.FORMAT_VERSION, notice)));
    }

    /** Applies the answer to a request for allowance. */
    void onGrants(InstanceId from, AllowanceNotice notice, Instant now) {
        if (borrower.onGrants(from, notice, now)) {
            forwarding.post(new ForwardingEvent.AllowanceAnswered());
        }
    }
}
