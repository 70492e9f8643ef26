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
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.TimerService;

/**
 * The order leases of all server groups: one lease manager for each group, and what this instance
 * knows about the other holders.
 */
final class OrderLeases {
    /** Range over which the instances spread their attempts to acquire a free lease. */
    private static final Duration ACQUISITION_SPREAD = Duration.ofMillis(500);

    /**
     * How much longer an instance without processor time would wait before it acquires a free lease
     * than one with a whole core. A holder may have to plan, which is more work than forwarding.
     */
    private static final Duration WEAK_INSTANCE_DELAY = Duration.ofMillis(700);

    /**
     * How long an instance waits before it acquires a free lease, for each lease that it already
     * holds. Instances with fewer leases acquire it first.
     */
    private static final Duration DELAY_PER_HELD_LEASE = Duration.ofMillis(1200);

    /**
     * A holder counts as alive for this long after the last message that showed it to be alive.
     * Orders are not sent through a holder that is not alive.
     */
    private static final Duration HOLDER_TIMEOUT = Duration.ofMillis(1000);

    /**
     * How long this instance must hold the lowest group that has a live holder before it starts to
     * plan.
     */
    private static final Duration PLANNING_DELAY = Duration.ofMillis(500);

    /**
     * The last evidence that the holder of a lease is alive.
     *
     * @param at when it was received
     * @param renewedAt position in the store of the holder's last renewal
     * @param holder the holder
     * @param direct whether the holder sent it itself. Only direct heartbeats are passed on to
     *     other instances; otherwise two instances could keep a dead holder alive for each other.
     */
    private record HolderHeartbeat(
            Instant at, StorePosition renewedAt, InstanceId holder, boolean direct) {}

    private final InstanceId self;
    private final double capacity;
    private final OrderGroups groups;
    private final TimerService timers;
    private final Map<OrderGroup, LeaseManager> leaseManagers = new LinkedHashMap<>();
    private final Map<OrderGroup, LeaseDriver> drivers = new LinkedHashMap<>();
    private final Map<OrderGroup, HolderHeartbeat> heartbeats = new HashMap<>();
    private final Map<OrderGroup, StorePosition> releasedAt = new HashMap<>();
    private Instant lowestHolderSince;

    /** The present era of the store. */
    private StoreEra era = StoreEra.NONE;

    OrderLeases(
            InstanceId self,
            String process,
            String address,
            Duration turnTime,
            boolean firstStart,
            double capacity,
            OrderGroups groups,
            TimerService timers) {
        this.self = self;
        this.capacity = capacity;
        this.groups = groups;
        this.timers = timers;
        for (OrderGroup group : groups.all()) {
            leaseManagers.put(
                    group, new LeaseManager(self, process, address, turnTime, firstStart));
        }
    }

    void start(ObjectApi store, Executor loop, EventLog log) {
        LeaseReader reader = new LeaseReader(store, loop);
        leaseManagers.forEach(
                (group, manager) ->
                        drivers.put(
                                group,
                                new LeaseDriver(
                                        manager,
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
     * Sets the delays for the acquisition of free leases, so that one instance rarely holds
     * several. The free groups are ordered by the rank of this instance in each. For each lease
     * that the instance holds, and for each free group earlier in this order, it waits {@link
     * #DELAY_PER_HELD_LEASE} longer, so that other instances can acquire the lease first. Instances
     * with little processor time wait longer as well.
     */
    private void staggerAcquisitions() {
        List<OrderGroup> free = new ArrayList<>();
        int heldCount = heldGroups().size();
        for (OrderGroup group : leaseManagers.keySet()) {
            if (!isHolderAlive(group) && !leaseManagers.get(group).holding(timers.now())) {
                free.add(group);
            }
        }
        free.sort(Comparator.comparingDouble(group -> groups.acquisitionRank(self, group)));
        for (int index = 0; index < free.size(); index++) {
            OrderGroup group = free.get(index);
            long offsetMillis =
                    (long)
                            (ACQUISITION_SPREAD.toMillis() * groups.acquisitionRank(self, group)
                                    + WEAK_INSTANCE_DELAY.toMillis() * missingCapacity());
            leaseManagers
                    .get(group)
                    .setAcquisitionDelay(
                            DELAY_PER_HELD_LEASE
                                    .multipliedBy(heldCount + index)
                                    .plusMillis(offsetMillis));
        }
    }

    /** Returns the part of a core that this instance lacks, from 0 to 1. */
    private double missingCapacity() {
        return Math.max(0, 1 - capacity);
    }

    /**
     * Judges anew what was read of leases or stated about them, because the store's era changed.
     */
    void onStoreEra(StoreEra present) {
        era = present;
        releasedAt.clear();
        postAll(new LeaseEvent.StoreEraChanged(present));
    }

    void postAll(LeaseEvent event) {
        drivers.values().forEach(driver -> driver.post(event));
    }

    /** Returns the groups whose lease this instance holds now. */
    Set<OrderGroup> heldGroups() {
        Instant now = timers.now();
        Set<OrderGroup> groupsHeld = new LinkedHashSet<>();
        leaseManagers.forEach(
                (group, manager) -> {
                    if (manager.holding(now)) {
                        groupsHeld.add(group);
                    }
                });
        return groupsHeld;
    }

    /** Returns the last known holders of leases, without this instance, with their addresses. */
    Map<InstanceId, String> otherHolders() {
        Map<InstanceId, String> holders = new LinkedHashMap<>();
        for (LeaseManager manager : leaseManagers.values()) {
            manager.latestRecord()
                    .filter(record -> !record.holder().equals(self))
                    .ifPresent(record -> holders.put(record.holder(), record.address()));
        }
        return holders;
    }

    /**
     * Returns whether this instance should plan. It plans if it has held the lowest group with a
     * live holder for {@link #PLANNING_DELAY}. Within this time it would have received a message
     * from the holder of a lower group, if there is one.
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

    /**
     * Returns whether each lease is held by this instance, by one that was heard recently, or by
     * none. Otherwise an instance that is cut off from this one may plan.
     */
    boolean hearsAllHolders() {
        for (OrderGroup group : leaseManagers.keySet()) {
            LeaseManager manager = leaseManagers.get(group);
            boolean other = manager.latestRecord().isPresent() && !manager.isLastHolder();
            if (other && !isHolderAlive(group)) {
                return false;
            }
        }
        return true;
    }

    private boolean isHolderAlive(OrderGroup group) {
        HolderHeartbeat heartbeat = heartbeats.get(group);
        return heartbeat != null && timers.now().isBefore(heartbeat.at().plus(HOLDER_TIMEOUT));
    }

    /**
     * Returns the servers that orders can be sent to now: those whose group this instance may give
     * orders to, or whose group has another holder that is alive.
     */
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

    /**
     * Applies what a holder states about its own leases, and about the leases of other holders that
     * it receives messages from. Statements about an instance that is not the last known holder of
     * the lease are ignored.
     */
    void onLeaseNotices(InstanceId from, List<GatewayMessage.LeaseStatus> leases) {
        for (GatewayMessage.LeaseStatus lease : leases) {
            InstanceId holder = lease.holder().isEmpty() ? from : new InstanceId(lease.holder());
            LeaseManager manager = leaseManagers.get(lease.group());
            Optional<LeaseRecord> lastSeen =
                    manager == null ? Optional.empty() : manager.latestRecord();
            boolean isHolder =
                    lastSeen.filter(record -> record.holder().equals(holder)).isPresent();
            if (!isHolder || isOfAnotherEra(lease)) {
                continue;
            }
            boolean direct = holder.equals(from);
            if (lease.holding()) {
                recordHeartbeat(lease, holder, direct);
            } else if (direct) {
                recordRelease(lease);
            }
            drivers.get(lease.group())
                    .post(new LeaseEvent.HolderResponded(lease.holding(), lease.renewedAt()));
        }
    }

    /** Statements without an era are from instances of a release that does not state eras. */
    private boolean isOfAnotherEra(GatewayMessage.LeaseStatus lease) {
        StoreEra stated = lease.renewedAt().era();
        return stated.isStated() && !stated.equals(era);
    }

    /**
     * Records that a holder has given up its lease. Others learn of it later and may still state
     * that the holder is alive, so statements about the same or an older renewal are ignored. So is
     * the release itself if the holder is known to have renewed the lease since.
     */
    private void recordRelease(GatewayMessage.LeaseStatus lease) {
        HolderHeartbeat heartbeat = heartbeats.get(lease.group());
        if (heartbeat == null || !heartbeat.renewedAt().isAfter(lease.renewedAt())) {
            heartbeats.remove(lease.group());
            StorePosition known = releasedAt.get(lease.group());
            if (known == null || !known.isAfter(lease.renewedAt())) {
                releasedAt.put(lease.group(), lease.renewedAt());
            }
        }
    }

    private void recordHeartbeat(
            GatewayMessage.LeaseStatus lease, InstanceId holder, boolean direct) {
        StorePosition released = releasedAt.get(lease.group());
        if (released != null && isSameEraAndNotAfter(lease.renewedAt(), released)) {
            return;
        }
        HolderHeartbeat before = heartbeats.get(lease.group());
        if (direct || before == null || !before.direct() || !isHolderAlive(lease.group())) {
            heartbeats.put(
                    lease.group(),
                    new HolderHeartbeat(timers.now(), lease.renewedAt(), holder, direct));
        }
    }

    private static boolean isSameEraAndNotAfter(StorePosition one, StorePosition other) {
        return one.era().equals(other.era()) && !one.isAfter(other);
    }

    /** Returns whether this instance holds any lease, or is the last known holder of one. */
    boolean isOrWasHolder() {
        return leaseManagers.values().stream().anyMatch(LeaseManager::isLastHolder);
    }

    /**
     * Returns the statements about leases that this instance sends with its notices: on the leases
     * that it holds or held last, and on those whose holders send it messages directly. An instance
     * that reports to only one holder thus learns which other holders are alive.
     */
    List<GatewayMessage.LeaseStatus> leaseNotices() {
        Instant now = timers.now();
        List<GatewayMessage.LeaseStatus> notices = new ArrayList<>();
        leaseManagers.forEach(
                (group, manager) -> {
                    if (manager.isLastHolder()) {
                        notices.add(
                                new GatewayMessage.LeaseStatus(
                                        group,
                                        manager.holding(now),
                                        manager.latestRecord().get().position(),
                                        ""));
                    } else if (isHolderAlive(group) && heartbeats.get(group).direct()) {
                        HolderHeartbeat heartbeat = heartbeats.get(group);
                        notices.add(
                                new GatewayMessage.LeaseStatus(
                                        group,
                                        true,
                                        heartbeat.renewedAt(),
                                        heartbeat.holder().value()));
                    }
                });
        return notices;
    }
}
