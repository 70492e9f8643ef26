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
import org.tarragonlug.decision.ownership.LeaseKeeper;
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
    private static final Duration SPREAD = Duration.ofMillis(500);

    /** An instance leaves a free lease to others this long for each lease that it holds. */
    private static final Duration PER_LEASE_HELD = Duration.ofMillis(1200);

    /** A holder that was not heard for this long gets no orders to send. */
    private static final Duration HEARD_VALID = Duration.ofMillis(1000);

    private static final Duration SETTLING = Duration.ofMillis(500);

    /**
     * The last sign of life of a holder. Only what the holder said itself is passed on, or two
     * instances would keep a dead holder alive for each other.
     */
    private record Heard(Instant at, long revision, InstanceId holder, boolean direct) {}

    private final InstanceId self;
    private final OrderGroups groups;
    private final TimerService timers;
    private final Map<OrderGroup, LeaseKeeper> keepers = new LinkedHashMap<>();
    private final Map<OrderGroup, LeaseDriver> drivers = new LinkedHashMap<>();
    private final Map<OrderGroup, Heard> heard = new HashMap<>();
    private Instant lowestSince;

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
            keepers.put(group, new LeaseKeeper(self, process, address, turnTime));
        }
    }

    void start(ObjectApi store, Executor loop, EventLog log) {
        LeaseReader reader = new LeaseReader(store, loop);
        keepers.forEach(
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

    Map<OrderGroup, LeaseKeeper> keepers() {
        return keepers;
    }

    void tick() {
        spread();
        postAll(new LeaseEvent.Tick());
    }

    /**
     * Lets each instance go for the group first for which it stands first, and leave the others to
     * other instances for a while, so that one instance rarely holds several leases.
     */
    private void spread() {
        List<OrderGroup> free = new ArrayList<>();
        int held = held().size();
        for (OrderGroup group : keepers.keySet()) {
            if (!isHeard(group) && !keepers.get(group).holding(timers.now())) {
                free.add(group);
            }
        }
        free.sort(Comparator.comparingDouble(group -> groups.standing(self, group)));
        for (int index = 0; index < free.size(); index++) {
            OrderGroup group = free.get(index);
            long spread = (long) (SPREAD.toMillis() * groups.standing(self, group));
            keepers.get(group)
                    .hesitate(PER_LEASE_HELD.multipliedBy(held + index).plusMillis(spread));
        }
    }

    void postAll(LeaseEvent event) {
        drivers.values().forEach(driver -> driver.post(event));
    }

    /** Returns the groups whose lease this instance holds. */
    Set<OrderGroup> held() {
        Instant now = timers.now();
        Set<OrderGroup> held = new LinkedHashSet<>();
        keepers.forEach(
                (group, keeper) -> {
                    if (keeper.holding(now)) {
                        held.add(group);
                    }
                });
        return held;
    }

    /** Returns the other instances that hold leases, as far as is known, with their addresses. */
    Map<InstanceId, String> otherHolders() {
        Map<InstanceId, String> holders = new LinkedHashMap<>();
        for (LeaseKeeper keeper : keepers.values()) {
            keeper.seen()
                    .filter(seen -> !seen.holder().equals(self))
                    .ifPresent(seen -> holders.put(seen.holder(), seen.address()));
        }
        return holders;
    }

    /**
     * Tells whether this instance plans: it has been the holder of the lowest group whose holder is
     * alive for {@link #SETTLING}, in which it would have heard a holder of a lower one.
     */
    boolean planning() {
        Instant now = timers.now();
        if (!holdsLowest()) {
            lowestSince = null;
            return false;
        }
        lowestSince = lowestSince == null ? now : lowestSince;
        return !now.isBefore(lowestSince.plus(SETTLING));
    }

    private boolean holdsLowest() {
        Set<OrderGroup> held = held();
        for (OrderGroup group : keepers.keySet()) {
            if (held.contains(group)) {
                return true;
            }
            if (isHeard(group)) {
                return false;
            }
        }
        return false;
    }

    private boolean isHeard(OrderGroup group) {
        Heard each = heard.get(group);
        return each != null && timers.now().isBefore(each.at().plus(HEARD_VALID));
    }

    /** Returns those of the servers that orders reach now. */
    Set<ServerId> orderable(Set<ServerId> servers) {
        Instant now = timers.now();
        Set<OrderGroup> open =
                keepers.entrySet().stream()
                        .filter(
                                each ->
                                        each.getValue().mayOrder(now)
                                                || !each.getValue().holding(now)
                                                        && isHeard(each.getKey()))
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        return servers.stream()
                .filter(server -> open.contains(groups.of(server)))
                .collect(Collectors.toSet());
    }

    /** Takes what a holder says of its leases, and what it has heard of those of others. */
    void noticed(InstanceId from, List<PeerMessage.LeaseStatus> leases) {
        for (PeerMessage.LeaseStatus lease : leases) {
            InstanceId holder = lease.holder().isEmpty() ? from : new InstanceId(lease.holder());
            LeaseKeeper keeper = keepers.get(lease.group());
            Optional<LeaseRecord> seen = keeper == null ? Optional.empty() : keeper.seen();
            if (seen.filter(record -> record.holder().equals(holder)).isEmpty()) {
                continue;
            }
            if (lease.holding()) {
                hear(lease, holder, holder.equals(from));
            }
            drivers.get(lease.group())
                    .post(new LeaseEvent.HolderHeard(lease.holding(), lease.revision()));
        }
    }

    private void hear(PeerMessage.LeaseStatus lease, InstanceId holder, boolean direct) {
        Heard before = heard.get(lease.group());
        if (direct || before == null || !before.direct() || !isHeard(lease.group())) {
            heard.put(lease.group(), new Heard(timers.now(), lease.revision(), holder, direct));
        }
    }

    /** Tells whether this instance holds a lease, or held it last. */
    boolean holdsAny() {
        return keepers.values().stream().anyMatch(this::isOwn);
    }

    private boolean isOwn(LeaseKeeper keeper) {
        return keeper.seen().filter(seen -> seen.holder().equals(self)).isPresent();
    }

    /**
     * Returns what this instance says of the leases that it holds or held last, and of those whose
     * holders it hears. So an instance that reports to one holder knows of all that they live.
     */
    List<PeerMessage.LeaseStatus> notices() {
        Instant now = timers.now();
        List<PeerMessage.LeaseStatus> notices = new ArrayList<>();
        keepers.forEach(
                (group, keeper) -> {
                    if (isOwn(keeper)) {
                        notices.add(
                                new PeerMessage.LeaseStatus(
                                        group,
                                        keeper.holding(now),
                                        keeper.seen().get().revision(),
                                        ""));
                    } else if (isHeard(group) && heard.get(group).direct()) {
                        Heard each = heard.get(group);
                        notices.add(
                                new PeerMessage.LeaseStatus(
                                        group, true, each.revision(), each.holder().value()));
                    }
                });
        return notices;
    }
}
