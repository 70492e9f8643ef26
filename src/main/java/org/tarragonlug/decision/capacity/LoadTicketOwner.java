package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.decision.capacity.TicketOwnerCommand.SendGrant;
import org.tarragonlug.decision.capacity.TicketOwnerCommand.SendRefused;
import org.tarragonlug.decision.capacity.TicketOwnerCommand.SendReturnReceived;
import org.tarragonlug.decision.capacity.TicketOwnerEvent.LoadWasSlow;
import org.tarragonlug.decision.capacity.TicketOwnerEvent.OwnerTick;
import org.tarragonlug.decision.capacity.TicketOwnerEvent.OwnerViewChanged;
import org.tarragonlug.decision.capacity.TicketOwnerEvent.TurnRequested;
import org.tarragonlug.decision.capacity.TicketOwnerEvent.TurnReturned;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/**
 * Grants turns at the weight store for the tickets that this instance owns.
 *
 * <p>All its tickets of a kind share one queue, so a turn gets whichever is free first. The order
 * is: turns that requests wait for before prewarming, then nearest deadline, then order of arrival.
 * A ticket is granted to one load at a time and at most once per {@link TicketKind#interval}.
 *
 * <p>A grant lasts until its return, or until the hold time that the asker stated plus a margin for
 * the message. The asker aborts a load after its hold time, so an expired grant's load has ended,
 * and a lost return blocks a ticket for a bounded time only. A repeated request is answered again,
 * which makes lost answers harmless. A waiting turn that is not asked for again is dropped: its
 * asker is gone or went elsewhere.
 *
 * <p>Slow loads halve the tickets in use, at most once per {@link #HALVING_INTERVAL} because the
 * loads of one slow moment are reported one by one; each minute without a slow load adds one back.
 * Askers tell all owners of slow loads, so that owners agree on how many tickets are in use; after
 * a lost report they disagree until the tickets are added back. Tickets with a lower index are used
 * first, and ticket 0 always.
 *
 * <p>Limit: a new owner starts empty, so after a membership change a ticket can be held twice until
 * the older load ends.
 */
public final class LoadTicketOwner implements StateMachine<TicketOwnerEvent, TicketOwnerCommand> {
    /** How long a waiting turn is kept without being asked for again. */
    public static final Duration WAITING_EXPIRY = Duration.ofSeconds(10);

    /** Longest time a grant is assumed to travel; later ones are not used by the asker. */
    public static final Duration GRANT_TRAVEL_LIMIT = Duration.ofSeconds(5);

    /** Slow loads within this time count once. */
    public static final Duration HALVING_INTERVAL = Duration.ofSeconds(10);

    /** Time without slow loads after which one ticket is added back. */
    public static final Duration RECOVERY_INTERVAL = Duration.ofMinutes(1);

    private final InstanceId self;
    private final Hasher hasher;
    private final Map<TicketKind, Desk> desks = new EnumMap<>(TicketKind.class);

    /**
     * Creates an owner that owns nothing until it learns the live view.
     *
     * @param self this instance
     * @param hasher the hash function, the same at all instances
     */
    public LoadTicketOwner(InstanceId self, Hasher hasher) {
        this.self = self;
        this.hasher = hasher;
        for (TicketKind kind : TicketKind.values()) {
            desks.put(kind, new Desk(kind));
        }
    }

    /** Returns how many tickets of a kind are in use, owned by any instance. */
    public int ticketsInUse(TicketKind kind) {
        return desks.get(kind).inUse;
    }

    @Override
    public List<TicketOwnerCommand> handle(TicketOwnerEvent event, Instant now) {
        List<TicketOwnerCommand> commands = new ArrayList<>();
        if (event instanceof TurnRequested requested) {
            desks.get(requested.turn().kind()).request(requested, now, commands);
        } else if (event instanceof TurnReturned returned) {
            desks.values().forEach(desk -> desk.release(returned));
            commands.add(
                    new SendReturnReceived(
                            returned.from(), returned.operation(), returned.sequence()));
        } else if (event instanceof LoadWasSlow slow) {
            desks.get(slow.kind()).halve(now);
        } else if (event instanceof OwnerViewChanged changed) {
            desks.values().forEach(desk -> desk.viewChanged(changed.live(), now, commands));
        } else if (event instanceof OwnerTick) {
            desks.values().forEach(desk -> desk.recover(now));
        }
        desks.values().forEach(desk -> desk.grant(now, commands));
        return commands;
    }

    /** The tickets and the queue of one kind. */
    private final class Desk {
        private final TicketKind kind;
        private final Ticket[] tickets;
        private final Map<OperationId, Waiting> queue = new LinkedHashMap<>();
        private int inUse;
        private Instant lastHalved = Instant.EPOCH;
        private Instant lastChange = Instant.EPOCH;
        private long arrivals;

        Desk(TicketKind kind) {
            this.kind = kind;
            inUse = kind.tickets();
            tickets = new Ticket[inUse];
            for (int index = 0; index < inUse; index++) {
                tickets[index] = new Ticket(new LoadTicket(kind, index));
            }
        }

        void request(TurnRequested requested, Instant now, List<TicketOwnerCommand> commands) {
            LoadTurn turn = requested.turn();
            for (Ticket ticket : tickets) {
                if (ticket.holder != null && ticket.holder.matches(requested)) {
                    long order = ticket.holder.order;
                    commands.add(ticket.grant(Waiting.of(requested, order, now), now));
                    return;
                }
            }
            if (!ownsAnyInUse()) {
                queue.remove(turn.operation());
                commands.add(new SendRefused(requested.from(), turn.operation(), inUse));
                return;
            }
            Waiting known = queue.get(turn.operation());
            long order = known == null ? arrivals++ : known.order;
            queue.put(turn.operation(), Waiting.of(requested, order, now));
        }

        void release(TurnReturned returned) {
            queue.values().removeIf(waiting -> waiting.endedBy(returned));
            for (Ticket ticket : tickets) {
                if (ticket.holder != null && ticket.holder.endedBy(returned)) {
                    ticket.holder = null;
                }
            }
        }

        void halve(Instant now) {
            if (!now.isBefore(lastHalved.plus(HALVING_INTERVAL))) {
                inUse = Math.max(1, inUse / 2);
                lastHalved = now;
            }
            lastChange = now;
        }

        void recover(Instant now) {
            if (inUse < kind.tickets() && !now.isBefore(lastChange.plus(RECOVERY_INTERVAL))) {
                inUse++;
                lastChange = now;
            }
        }

        void viewChanged(List<InstanceId> live, Instant now, List<TicketOwnerCommand> commands) {
            for (Ticket ticket : tickets) {
                ticket.owned =
                        !live.isEmpty()
                                && LoadTickets.owner(ticket.name, live, hasher).equals(self);
            }
            if (!ownsAnyInUse()) {
                queue.forEach(
                        (operation, waiting) ->
                                commands.add(new SendRefused(waiting.from, operation, inUse)));
                queue.clear();
            }
        }

        void grant(Instant now, List<TicketOwnerCommand> commands) {
            queue.values().removeIf(w -> now.isAfter(w.askedAt.plus(WAITING_EXPIRY)));
            while (!queue.isEmpty()) {
                Optional<Ticket> free = freeTicket(now);
                if (free.isEmpty()) {
                    return;
                }
                Waiting next = queue.values().stream().min(Waiting.ORDER).orElseThrow();
                queue.remove(next.turn.operation());
                free.get().notBefore = now.plus(kind.interval());
                commands.add(free.get().grant(next, now));
            }
        }

        private boolean ownsAnyInUse() {
            for (int index = 0; index < inUse; index++) {
                if (tickets[index].owned) {
                    return true;
                }
            }
            return false;
        }

        private Optional<Ticket> freeTicket(Instant now) {
            for (int index = 0; index < inUse; index++) {
                if (tickets[index].owned && tickets[index].free(now)) {
                    return Optional.of(tickets[index]);
                }
            }
            return Optional.empty();
        }
    }

    private static final class Ticket {
        private final LoadTicket name;
        private boolean owned;
        private Waiting holder;
        private Instant expiresAt = Instant.EPOCH;
        private Instant notBefore = Instant.EPOCH;

        Ticket(LoadTicket name) {
            this.name = name;
        }

        boolean free(Instant now) {
            if (holder != null && now.isAfter(expiresAt)) {
                holder = null;
            }
            return holder == null && !now.isBefore(notBefore);
        }

        SendGrant grant(Waiting waiting, Instant now) {
            holder = waiting;
            expiresAt = now.plus(waiting.turn.hold()).plus(GRANT_TRAVEL_LIMIT);
            return new SendGrant(
                    waiting.from,
                    waiting.turn.operation(),
                    name,
                    waiting.turn.hold(),
                    waiting.sequence);
        }
    }

    private record Waiting(
            InstanceId from, LoadTurn turn, long sequence, long order, Instant askedAt) {
        static final Comparator<Waiting> ORDER =
                Comparator.comparing((Waiting waiting) -> waiting.turn.prewarming())
                        .thenComparing(waiting -> waiting.turn.deadline())
                        .thenComparingLong(Waiting::order);

        static Waiting of(TurnRequested requested, long order, Instant now) {
            return new Waiting(
                    requested.from(), requested.turn(), requested.sequence(), order, now);
        }

        boolean endedBy(TurnReturned returned) {
            return from.equals(returned.from())
                    && turn.operation().equals(returned.operation())
                    && sequence <= returned.sequence();
        }

        boolean matches(TurnRequested requested) {
            return from.equals(requested.from())
                    && turn.operation().equals(requested.turn().operation());
        }
    }
}
