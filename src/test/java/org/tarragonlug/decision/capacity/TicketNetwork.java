package org.tarragonlug.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.tarragonlug.decision.capacity.TicketClientCommand.BeginLoad;
import org.tarragonlug.decision.capacity.TicketClientCommand.SendLoadWasSlow;
import org.tarragonlug.decision.capacity.TicketClientCommand.SendTurnRequest;
import org.tarragonlug.decision.capacity.TicketClientCommand.SendTurnReturn;
import org.tarragonlug.decision.capacity.TicketOwnerCommand.SendGrant;
import org.tarragonlug.decision.capacity.TicketOwnerCommand.SendRefusal;
import org.tarragonlug.decision.capacity.TicketOwnerCommand.SendReturnReceived;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/**
 * Simulates the owners and clients of load tickets on six instances in virtual time, over a network
 * that loses and delays messages. At each step it checks the number of loads in progress against
 * the number of instances that own a ticket according to their views.
 */
final class TicketNetwork {
    private static final int INSTANCES = 6;
    private static final double LOSS_PROBABILITY = 0.1;
    private static final Duration HOLD = Duration.ofSeconds(15);

    /**
     * Maximum time for which grants of the previous owner remain in use after a change of views.
     */
    private static final Duration PREVIOUS_GRANT_LIFETIME =
            HOLD.plus(LoadTicketOwner.GRANT_DELIVERY_LIMIT).plusSeconds(15);

    /**
     * Maximum wait for a turn: eight hold times. The offered load is about 60% of what the tickets
     * allow.
     */
    private static final Duration MAX_WAIT = Duration.ofMinutes(2);

    private final long seed;
    private final Random random;
    private final TicketKind kind;
    private final boolean viewsDiffer;
    private final List<InstanceId> instances = new ArrayList<>();
    private final Map<InstanceId, LoadTicketOwner> owners = new HashMap<>();
    private final Map<InstanceId, LoadTicketClient> clients = new HashMap<>();
    private final Map<InstanceId, Set<LoadTicket>> owned = new HashMap<>();
    private final Map<LoadTicket, Map<InstanceId, Instant>> assumedOwners = new HashMap<>();
    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
    private final Map<OperationId, Instant> waiting = new HashMap<>();
    private final Set<OperationId> loading = new HashSet<>();
    private final Set<String> grantedLoads = new HashSet<>();
    private final Map<String, Instant> lastGrant = new HashMap<>();
    private Instant now = Instant.parse("2026-01-05T00:00:00Z");
    private long scheduled;
    private int begun;
    private int maxLoading;

    TicketNetwork(long seed, TicketKind kind, boolean viewsDiffer) {
        this.seed = seed;
        this.kind = kind;
        this.viewsDiffer = viewsDiffer;
        random = new Random(seed);
        for (int index = 0; index < INSTANCES; index++) {
            InstanceId instance = new InstanceId("i" + index);
            instances.add(instance);
            owners.put(instance, new LoadTicketOwner(instance, TicketNetwork::hash));
            clients.put(instance, new LoadTicketClient(TicketNetwork::hash));
        }
    }

    /** A stable hash function for tests: FNV-1a with a final mixing step. */
    static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (char character : text.toCharArray()) {
            hash = (hash ^ character) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        return hash ^ (hash >>> 29);
    }

    void run(int seconds) {
        instances.forEach(instance -> setView(instance, instances));
        Instant end = now.plusSeconds(seconds);
        int wanted = 0;
        while (now.isBefore(end.plus(MAX_WAIT))) {
            now = now.plusMillis(50);
            deliver();
            double perStep = kind == TicketKind.MODEL ? 0.05 * 0.3 : 0.05 * 40;
            if (now.isBefore(end) && random.nextDouble() < perStep % 1 + (int) perStep) {
                for (int i = 0; i < Math.max(1, (int) perStep); i++) {
                    requestTurn(wanted++);
                }
            }
            if (viewsDiffer && now.isBefore(end) && random.nextInt(400) == 0) {
                changeViews();
            }
            for (InstanceId instance : instances) {
                handleClientEvent(instance, new TicketClientEvent.ClientTick());
                handleOwnerEvent(instance, new TicketOwnerEvent.OwnerTick());
            }
            check();
        }
        assertTrue(waiting.isEmpty(), "seed=" + seed + " never served: " + waiting.keySet());
        assertTrue(
                kind != TicketKind.MODEL || maxLoading >= 4,
                "never had all four model tickets in use");
        assertTrue(begun == wanted && wanted > 100, "begun=" + begun + " wanted=" + wanted);
    }

    private void requestTurn(int number) {
        InstanceId instance = instances.get(random.nextInt(INSTANCES));
        OperationId operation = new OperationId("load-" + number);
        Instant deadline = now.plusSeconds(10 + random.nextInt(30));
        boolean prewarming = random.nextInt(5) == 0;
        waiting.put(operation, now);
        LoadTurn turn = new LoadTurn(operation, kind, deadline, prewarming, HOLD);
        handleClientEvent(instance, new TicketClientEvent.TurnNeeded(turn));
    }

    /**
     * Removes one member from the views of all other instances, or restores all members in all
     * views. Each view changes after a random delay, so that the views differ for a time.
     */
    private void changeViews() {
        List<InstanceId> fewer = new ArrayList<>(instances);
        fewer.remove(random.nextInt(INSTANCES));
        boolean restore = random.nextBoolean();
        for (InstanceId instance : instances) {
            List<InstanceId> view = restore || !fewer.contains(instance) ? instances : fewer;
            schedule(random.nextInt(8_000), () -> setView(instance, view));
        }
    }

    private void setView(InstanceId instance, List<InstanceId> view) {
        Set<LoadTicket> tickets = new HashSet<>();
        for (int index = 0; index < kind.tickets(); index++) {
            LoadTicket ticket = new LoadTicket(kind, index);
            if (LoadTickets.owner(ticket, view, TicketNetwork::hash).equals(instance)) {
                tickets.add(ticket);
            }
        }
        owned.put(instance, tickets);
        handleOwnerEvent(instance, new TicketOwnerEvent.OwnerViewChanged(view));
        handleClientEvent(instance, new TicketClientEvent.ClientViewChanged(view));
    }

    private void handleOwnerEvent(InstanceId self, TicketOwnerEvent event) {
        for (TicketOwnerCommand command : owners.get(self).handle(event, now)) {
            if (command instanceof SendGrant grant) {
                checkRate(self, grant);
            }
            TicketClientEvent answer = toClientEvent(self, command);
            send(() -> handleClientEvent(command.to(), answer));
        }
    }

    private static TicketClientEvent toClientEvent(InstanceId from, TicketOwnerCommand command) {
        if (command instanceof SendGrant grant) {
            return new TicketClientEvent.GrantReceived(
                    from, grant.operation(), grant.ticket(), grant.sequence());
        }
        if (command instanceof SendRefusal refused) {
            return new TicketClientEvent.RefusalReceived(
                    from, refused.operation(), refused.ticketsInUse());
        }
        SendReturnReceived received = (SendReturnReceived) command;
        return new TicketClientEvent.ReturnConfirmed(
                from, received.operation(), received.sequence());
    }

    private void handleClientEvent(InstanceId self, TicketClientEvent event) {
        for (TicketClientCommand command : clients.get(self).handle(event, now)) {
            if (command instanceof SendTurnRequest request) {
                TicketOwnerEvent requested =
                        new TicketOwnerEvent.TurnRequested(
                                self, request.turn(), request.sequence());
                send(() -> handleOwnerEvent(request.to(), requested));
            } else if (command instanceof SendTurnReturn turnReturn) {
                TicketOwnerEvent returned =
                        new TicketOwnerEvent.TurnReturned(
                                self, turnReturn.operation(), turnReturn.sequence());
                send(() -> handleOwnerEvent(turnReturn.to(), returned));
            } else if (command instanceof SendLoadWasSlow slow) {
                send(
                        () ->
                                handleOwnerEvent(
                                        slow.to(), new TicketOwnerEvent.LoadWasSlow(slow.kind())));
            } else if (command instanceof BeginLoad begin) {
                begin(self, begin);
            }
        }
    }

    private void begin(InstanceId self, BeginLoad begin) {
        OperationId operation = begin.operation();
        Instant since = waiting.remove(operation);
        assertTrue(since != null, "seed=" + seed + " began twice: " + operation);
        begun++;
        loading.add(operation);
        maxLoading = Math.max(maxLoading, loading.size());
        int millis = kind == TicketKind.MODEL ? 2_000 + random.nextInt(12_000) : 10;
        Duration duration = Duration.ofMillis(millis);
        schedule(
                millis,
                () -> {
                    loading.remove(operation);
                    handleClientEvent(
                            self, new TicketClientEvent.LoadEnded(operation, duration, duration));
                });
    }

    private void checkRate(InstanceId self, SendGrant grant) {
        if (!grantedLoads.add(self + "/" + grant.operation())) {
            return;
        }
        Instant before = lastGrant.put(self + "/" + grant.ticket(), now);
        assertTrue(
                before == null || !now.isBefore(before.plus(kind.interval())),
                "seed=" + seed + " two grants of " + grant.ticket() + " at " + now);
    }

    /**
     * Checks that there are at most as many loads as pairs of a ticket and an instance that owns it
     * according to its view, or owned it until recently, and that no turn waits too long.
     */
    private void check() {
        int allowed = 0;
        for (int index = 0; index < kind.tickets(); index++) {
            LoadTicket ticket = new LoadTicket(kind, index);
            Map<InstanceId, Instant> recentOwners =
                    assumedOwners.computeIfAbsent(ticket, unused -> new HashMap<>());
            for (InstanceId instance : instances) {
                if (owned.get(instance).contains(ticket)) {
                    recentOwners.put(instance, now);
                }
            }
            recentOwners.values().removeIf(at -> at.isBefore(now.minus(PREVIOUS_GRANT_LIFETIME)));
            allowed += recentOwners.size();
        }
        assertTrue(
                viewsDiffer || allowed == kind.tickets(),
                "some ticket does not have exactly one owner although all views agree");
        String label = "seed=" + seed + " at=" + now + " loading=" + loading;
        assertTrue(loading.size() <= allowed, label + " allowed=" + allowed);
        for (Map.Entry<OperationId, Instant> entry : waiting.entrySet()) {
            assertTrue(!now.isAfter(entry.getValue().plus(MAX_WAIT)), label + " starved " + entry);
        }
    }

    private void send(Runnable delivery) {
        if (random.nextDouble() >= LOSS_PROBABILITY) {
            schedule(1 + random.nextInt(random.nextInt(20) == 0 ? 3_000 : 40), delivery);
        }
    }

    private void schedule(int millis, Runnable action) {
        queue.add(new Scheduled(now.plusMillis(millis), scheduled++, action));
    }

    private void deliver() {
        while (!queue.isEmpty() && !queue.peek().at.isAfter(now)) {
            queue.remove().action.run();
        }
    }

    private record Scheduled(Instant at, long order, Runnable action)
            implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
