package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.stream.Collectors;
import org.tarragonlug.decision.ownership.LeaseEvent;
import org.tarragonlug.decision.ownership.LeaseManager;
import org.tarragonlug.decision.ownership.LeaseRecord;
import org.tarragonlug.decision.ownership.OrderGroups;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.TimerService;

/** The order leases of all groups as this instance sees them. */
final class OrderLeases {
    /** Spreads the attempts of instances to take a free lease. */
    private static final Duration ACQUISITION_SPREAD = Duration.ofMillis(500);

    /** An instance leaves a free lease to others this long for each lease that it holds. */
    private static final Duration DELAY_PER_HELD_LEASE = Duration.ofMillis(1200);

    /** A holder that was not heard for this long gets no orders to send. */
    private static final Duration HOLDER_TIMEOUT = Duration.ofMillis(1000);

    private static final Duration PLANNING_DELAY = Duration.ofMillis(500);

    /**
     * The last sign of life of a holder. Only what the holder said itself is passed on, or two
     * instances would keep a dead holder alive for each other.
     */
    private record HolderHeartbeat(Instant at, long revision, InstanceId holder, boolean direct) {}

    private final InstanceId self;
    private final OrderGroups groups;
    private final TimerService timers;
    private final Map<OrderGroup, LeaseManager> leaseManagers = new LinkedHashMap<>();
    private final Map<OrderGroup, LeaseDriver> drivers = new LinkedHashMap<>();
    private final Map<OrderGroup, HolderHeartbeat> heartbeats = new HashMap<>();
    private Instant lowestHolderSince;

    OrderLeases(
            InstanceId self,
            String process,
            String address,
            Duration turnTime,
            OrderGroups groups,
            TimerService timers) {
        this.self = self;
        this.groups = groups;
        this.timers = timers;
        for (OrderGroup group : groups.all()) {
            leaseManagers.put(group, new LeaseManager(self, process, address, turnTime));
        }
    }

    void start(ObjectApi store, Executor loop, EventLog log) {
        LeaseReader reader = new LeaseReader(store, loop);
        leaseManagers.forEach(
                (group, keeper) ->
                        drivers.put(
                                group,
                                new LeaseDriver(
                                        keeper,
                                        store,
                                        reader,
                                        PlatformKinds.orderLease(group),
                                        loop,
                                        timers,
                                        log)));
    }

    Map<OrderGroup, LeaseManager> leaseManagers() {
        return leaseManagers;
    }

    void tick() {
        staggerAcquisitions();
        postAll(new LeaseEvent.Tick());
    }

    /**
     * Lets each instance go for the group first for which it stands first, and leave the others to
     * other instances for a while, so that one instance rarely holds several leases.
     */
    private void staggerAcquisitions() {
        List<OrderGroup> free = new ArrayList<>();
        int held = heldGroups().size();
        for (OrderGroup group : leaseManagers.keySet()) {
            if (!isHolderAlive(group) && !leaseManagers.get(group).holding(timers.now())) {
                free.add(group);
            }
        }
        free.sort(Comparator.comparingDouble(group -> groups.acquisitionRank(self, group)));
        for (int index = 0; index < free.size(); index++) {
            OrderGroup group = free.get(index);
            long offsetMillis = (long) (ACQUISITION_SPREAD.toMillis() * groups.acquisitionRank(self, group));
            leaseManagers.get(group)
                    .setAcquisitionDelay(DELAY_PER_HELD_LEASE.multipliedBy(held + index).plusMillis(offsetMillis));
        }
    }

    void postAll(LeaseEvent event) {
        drivers.values().forEach(driver -> driver.post(event));
    }

    /** Returns the groups whose lease this instance holds. */
    Set<OrderGroup> heldGroups() {
        Instant now = timers.now();
        Set<OrderGroup> groupsHeld = new LinkedHashSet<>();
        leaseManagers.forEach(
                (group, keeper) -> {
                    if (keeper.holding(now)) {
                        groupsHeld.add(group);
                    }
                });
        return groupsHeld;
    }

    /** Returns the other instances that hold leases, as far as is known, with their addresses. */
    Map<InstanceId, String> otherHolders() {
        Map<InstanceId, String> holders = new LinkedHashMap<>();
        for (LeaseManager keeper : leaseManagers.values()) {
            keeper.latestRecord()
                    .filter(seen -> !seen.holder().equals(self))
                    .ifPresent(seen -> holders.put(seen.holder(), seen.address()));
        }
        return holders;
    }

    /**
     * Tells whether this instance plans: it has been the holder of the lowest group whose holder is
     * alive for {@link #PLANNING_DELAY}, in which it would have heard a holder of a lower one.
     */
    boolean shouldPlan() {
        Instant now = timers.now();
        if (!holdsLowestLiveGroup()) {
            lowestHolderSince = null;
            return false;
        }
        lowestHolderSince = lowestHolderSince == null ? now : lowestHolderSince;
        return !now.isBefore(lowestHolderSince.plus(PLANNING_DELAY));
    }

    private boolean holdsLowestLiveGroup() {
        Set<OrderGroup> held = heldGroups();
        for (OrderGroup group : leaseManagers.keySet()) {
            if (held.contains(group)) {
                return true;
            }
            if (isHolderAlive(group)) {
                return false;
            }
        }
        return false;
    }

    private boolean isHolderAlive(OrderGroup group) {
        HolderHeartbeat each = heartbeats.get(group);
        return each != null && timers.now().isBefore(each.at().plus(HOLDER_TIMEOUT));
    }

    /** Returns those of the servers that orders reach now. */
    Set<ServerId> orderableServers(Set<ServerId> servers) {
        Instant now = timers.now();
        Set<OrderGroup> orderableGroups =
                leaseManagers.entrySet().stream()
                        .filter(
                                each ->
                                        each.getValue().mayOrder(now)
                                                || !each.getValue().holding(now)
                                                        && isHolderAlive(each.getKey()))
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        return servers.stream()
                .filter(server -> orderableGroups.contains(groups.groupOf(server)))
                .collect(Collectors.toSet());
    }

    /** Takes what a holder says of its leases, and what it has heard of those of others. */
    void onLeaseNotices(InstanceId from, List<PeerMessage.LeaseStatus> leases) {
        for (PeerMessage.LeaseStatus lease : leases) {
            InstanceId holder = lease.holder().isEmpty() ? from : new InstanceId(lease.holder());
            LeaseManager keeper = leaseManagers.get(lease.group());
            Optional<LeaseRecord> seen = keeper == null ? Optional.empty() : keeper.latestRecord();
            if (seen.filter(record -> record.holder().equals(holder)).isEmpty()) {
                continue;
            }
            if (lease.holding()) {
                recordHeartbeat(lease, holder, holder.equals(from));
            }
            drivers.get(lease.group())
                    .post(new LeaseEvent.HolderResponded(lease.holding(), lease.revision()));
        }
    }

    private void recordHeartbeat(PeerMessage.LeaseStatus lease, InstanceId holder, boolean direct) {
        HolderHeartbeat before = heartbeats.get(lease.group());
        if (direct || before == null || !before.direct() || !isHolderAlive(lease.group())) {
            heartbeats.put(lease.group(), new HolderHeartbeat(timers.now(), lease.revision(), holder, direct));
        }
    }

    /** Tells whether this instance holds a lease, or held it last. */
    boolean isOrWasHolder() {
        return leaseManagers.values().stream().anyMatch(this::isLastHolder);
    }

    private boolean isLastHolder(LeaseManager keeper) {
        return keeper.latestRecord().filter(seen -> seen.holder().equals(self)).isPresent();
    }

    /**
     * Returns what this instance says of the leases that it holds or held last, and of those whose
     * holders it hears. So an instance that reports to one holder knows of all that they live.
     */
    List<PeerMessage.LeaseStatus> leaseNotices() {
        Instant now = timers.now();
        List<PeerMessage.LeaseStatus> notices = new ArrayList<>();
        leaseManagers.forEach(
                (group, keeper) -> {
                    if (isLastHolder(keeper)) {
                        notices.add(
                                new PeerMessage.LeaseStatus(
                                        group,
                                        keeper.holding(now),
                                        keeper.latestRecord().get().revision(),
                                        ""));
                    } else if (isHolderAlive(group) && heartbeats.get(group).direct()) {
                        HolderHeartbeat heartbeat = heartbeats.get(group);
                        notices.add(
                                new PeerMessage.LeaseStatus(
                                        group, true, heartbeat.revision(), heartbeat.holder().value()));
                    }
                });
        return notices;
    }
}
