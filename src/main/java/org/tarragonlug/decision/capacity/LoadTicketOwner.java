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
import org.tarragonlug.decision.capacity.TicketOwnerCommand.SendRefusal;
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
    public static final Duration GRANT_DELIVERY_LIMIT = Duration.ofSeconds(5);

    /** Slow loads within this time count once. */
    public static final Duration HALVING_INTERVAL = Duration.ofSeconds(10);

    /** Time without slow loads after which one ticket is added back. */
    public static final Duration RECOVERY_INTERVAL = Duration.ofMinutes(1);

    private final InstanceId self;
    private final Hasher hasher;
    private final Map<TicketKind, TicketQueue> ticketQueues = new EnumMap<>(TicketKind.class);

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
            ticketQueues.put(kind, new TicketQueue(kind));
        }
    }

    /** Returns how many tickets of a kind are in use, owned by any instance. */
    public int ticketsInUse(TicketKind kind) {
        return ticketQueues.get(kind).ticketsInUse;
    }

    @Override
    public List<TicketOwnerCommand> handle(TicketOwnerEvent event, Instant now) {
        List<TicketOwnerCommand> commands = new ArrayList<>();
        if (event instanceof TurnRequested requested) {
            ticketQueues.get(requested.turn().kind()).request(requested, now, commands);
        } else if (event instanceof TurnReturned returned) {
            ticketQueues.values().forEach(desk -> desk.release(returned));
            commands.add(
                    new SendReturnReceived(
                            returned.from(), returned.operation(), returned.sequence()));
        } else if (event instanceof LoadWasSlow slow) {
            ticketQueues.get(slow.kind()).halve(now);
        } else if (event instanceof OwnerViewChanged changed) {
            ticketQueues.values().forEach(desk -> desk.onViewChanged(changed.live(), now, commands));
        } else if (event instanceof OwnerTick) {
            ticketQueues.values().forEach(desk -> desk.recover(now));
        }
        ticketQueues.values().forEach(desk -> desk.grant(now, commands));
        return commands;
    }

    /** The tickets and the queue of one kind. */
    private final class TicketQueue {
        private final TicketKind kind;
        private final Ticket[] tickets;
        private final Map<OperationId, WaitingTurn> waitingTurns = new LinkedHashMap<>();
        private int ticketsInUse;
        private Instant lastHalved = Instant.EPOCH;
        private Instant lastChange = Instant.EPOCH;
        private long requestCount;

        TicketQueue(TicketKind kind) {
            this.kind = kind;
            ticketsInUse = kind.tickets();
            tickets = new Ticket[ticketsInUse];
            for (int index = 0; index < ticketsInUse; index++) {
                tickets[index] = new Ticket(new LoadTicket(kind, index));
            }
        }

        void request(TurnRequested requested, Instant now, List<TicketOwnerCommand> commands) {
            LoadTurn turn = requested.turn();
            for (Ticket ticket : tickets) {
                if (ticket.grantedTurn != null && ticket.grantedTurn.matches(requested)) {
                    long order = ticket.grantedTurn.order;
                    commands.add(ticket.grant(WaitingTurn.of(requested, order, now), now));
                    return;
                }
            }
            if (!ownsAnyInUse()) {
                waitingTurns.remove(turn.operation());
                commands.add(new SendRefusal(requested.from(), turn.operation(), ticketsInUse));
                return;
            }
            WaitingTurn known = waitingTurns.get(turn.operation());
            long order = known == null ? requestCount++ : known.order;
            waitingTurns.put(turn.operation(), WaitingTurn.of(requested, order, now));
        }

        void release(TurnReturned returned) {
            waitingTurns.values().removeIf(waiting -> waiting.isWithdrawnBy(returned));
            for (Ticket ticket : tickets) {
                if (ticket.grantedTurn != null && ticket.grantedTurn.isWithdrawnBy(returned)) {
                    ticket.grantedTurn = null;
                }
            }
        }

        void halve(Instant now) {
            if (!now.isBefore(lastHalved.plus(HALVING_INTERVAL))) {
                ticketsInUse = Math.max(1, ticketsInUse / 2);
                lastHalved = now;
            }
            lastChange = now;
        }

        void recover(Instant now) {
            if (ticketsInUse < kind.tickets() && !now.isBefore(lastChange.plus(RECOVERY_INTERVAL))) {
                ticketsInUse++;
                lastChange = now;
            }
        }

        void onViewChanged(List<InstanceId> live, Instant now, List<TicketOwnerCommand> commands) {
            for (Ticket ticket : tickets) {
                ticket.owned =
                        !live.isEmpty()
                                && LoadTickets.owner(ticket.id, live, hasher).equals(self);
            }
            if (!ownsAnyInUse()) {
                waitingTurns.forEach(
                        (operation, waiting) ->
                                commands.add(new SendRefusal(waiting.from, operation, ticketsInUse)));
                waitingTurns.clear();
            }
        }

        void grant(Instant now, List<TicketOwnerCommand> commands) {
            waitingTurns.values().removeIf(w -> now.isAfter(w.requestedAt.plus(WAITING_EXPIRY)));
            while (!waitingTurns.isEmpty()) {
                Optional<Ticket> free = freeTicket(now);
                if (free.isEmpty()) {
                    return;
                }
                WaitingTurn next = waitingTurns.values().stream().min(WaitingTurn.ORDER).orElseThrow();
                waitingTurns.remove(next.turn.operation());
                free.get().notBefore = now.plus(kind.interval());
                commands.add(free.get().grant(next, now));
            }
        }

        private boolean ownsAnyInUse() {
            for (int index = 0; index < ticketsInUse; index++) {
                if (tickets[index].owned) {
                    return true;
                }
            }
            return false;
        }

        private Optional<Ticket> freeTicket(Instant now) {
            for (int index = 0; index < ticketsInUse; index++) {
                if (tickets[index].owned && tickets[index].isFree(now)) {
                    return Optional.of(tickets[index]);
                }
            }
            return Optional.empty();
        }
    }

    private static final class Ticket {
        private final LoadTicket id;
        private boolean owned;
        private WaitingTurn grantedTurn;
        private Instant expiresAt = Instant.EPOCH;
        private Instant notBefore = Instant.EPOCH;

        Ticket(LoadTicket id) {
            this.id = id;
        }

        boolean isFree(Instant now) {
            if (grantedTurn != null && now.isAfter(expiresAt)) {
                grantedTurn = null;
            }
            return grantedTurn == null && !now.isBefore(notBefore);
        }

        SendGrant grant(WaitingTurn waiting, Instant now) {
            grantedTurn = waiting;
            expiresAt = now.plus(waiting.turn.hold()).plus(GRANT_DELIVERY_LIMIT);
            return new SendGrant(
                    waiting.from,
                    waiting.turn.operation(),
                    id,
                    waiting.turn.hold(),
                    waiting.sequence);
        }
    }

    private record WaitingTurn(
            InstanceId from, LoadTurn turn, long sequence, long order, Instant requestedAt) {
        static final Comparator<WaitingTurn> ORDER =
                Comparator.comparing((WaitingTurn waiting) -> waiting.turn.prewarming())
                        .thenComparing(waiting -> waiting.turn.deadline())
                        .thenComparingLong(WaitingTurn::order);

        static WaitingTurn of(TurnRequested requested, long order, Instant now) {
            return new WaitingTurn(
                    requested.from(), requested.turn(), requested.sequence(), order, now);
        }

        boolean isWithdrawnBy(TurnReturned returned) {
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
