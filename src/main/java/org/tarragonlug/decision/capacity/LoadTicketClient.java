package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.decision.capacity.TicketClientCommand.BeginLoad;
import org.tarragonlug.decision.capacity.TicketClientCommand.SendLoadWasSlow;
import org.tarragonlug.decision.capacity.TicketClientCommand.SendTurnRequest;
import org.tarragonlug.decision.capacity.TicketClientCommand.SendTurnReturn;
import org.tarragonlug.decision.capacity.TicketClientEvent.ClientTick;
import org.tarragonlug.decision.capacity.TicketClientEvent.ClientViewChanged;
import org.tarragonlug.decision.capacity.TicketClientEvent.GrantReceived;
import org.tarragonlug.decision.capacity.TicketClientEvent.LoadEnded;
import org.tarragonlug.decision.capacity.TicketClientEvent.RefusalReceived;
import org.tarragonlug.decision.capacity.TicketClientEvent.ReturnConfirmed;
import org.tarragonlug.decision.capacity.TicketClientEvent.TurnNoLongerNeeded;
import org.tarragonlug.decision.capacity.TicketClientEvent.TurnNeeded;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/**
 * Asks for turns at the weight store and returns them.
 *
 * <p>Each load asks the owner of one ticket at a time, starting at a different ticket than the load
 * before it. The request is repeated every {@link #REQUEST_INTERVAL}, against lost messages. After
 * {@value #REQUESTS_PER_OWNER} requests without a grant the load goes to the next ticket whose owner is
 * another one, so neither a dead owner nor a long queue holds it up while another ticket is free.
 * Moving loses no place, because owners order by deadline.
 *
 * <p>A turn is returned to each owner that was asked and may still hold it. Returns are repeated
 * until confirmed. They carry the sequence of the last request, so a late return does not end a
 * newer request to the same owner. A grant that answers an old request is not used, because the
 * owner may give the ticket to another load before this one would end.
 */
public final class LoadTicketClient
        implements StateMachine<TicketClientEvent, TicketClientCommand> {
    /** Time between two requests for the same turn. */
    public static final Duration REQUEST_INTERVAL = Duration.ofSeconds(2);

    private static final Duration REQUEST_DELAY_AFTER_REFUSAL = Duration.ofMillis(250);
    private static final Duration RETURN_INTERVAL = Duration.ofSeconds(1);
    private static final int MAX_RETURN_SENDS = 20;
    private static final int REQUESTS_PER_OWNER = 2;
    private static final int SLOW_LOAD_FACTOR = 2;

    private final Hasher hasher;
    private final Map<OperationId, Load> loads = new LinkedHashMap<>();
    private final List<UnconfirmedReturn> returns = new ArrayList<>();
    private final Map<TicketKind, Integer> nextTicket = new EnumMap<>(TicketKind.class);
    private List<InstanceId> live = List.of();

    /**
     * Creates a client that asks nobody until it learns the live view.
     *
     * @param hasher the hash function, the same at all instances
     */
    public LoadTicketClient(Hasher hasher) {
        this.hasher = hasher;
    }

    @Override
    public List<TicketClientCommand> handle(TicketClientEvent event, Instant now) {
        List<TicketClientCommand> commands = new ArrayList<>();
        if (event instanceof TurnNeeded wanted) {
            onTurnNeeded(wanted.turn(), now, commands);
        } else if (event instanceof TurnNoLongerNeeded notWanted) {
            endLoad(loads.remove(notWanted.operation()), now, commands);
        } else if (event instanceof LoadEnded ended) {
            onLoadEnded(ended, now, commands);
        } else if (event instanceof GrantReceived grant) {
            onGrant(grant, now, commands);
        } else if (event instanceof RefusalReceived refused) {
            onRefusal(refused, now);
        } else if (event instanceof ReturnConfirmed confirmed) {
            returns.removeIf(r -> r.isConfirmedBy(confirmed));
        } else if (event instanceof ClientViewChanged changed) {
            onViewChanged(changed.live(), now, commands);
        } else if (event instanceof ClientTick) {
            onTick(now, commands);
        }
        return commands;
    }

    private void onTurnNeeded(LoadTurn turn, Instant now, List<TicketClientCommand> commands) {
        if (loads.containsKey(turn.operation())) {
            return;
        }
        int index = nextTicket.merge(turn.kind(), 1, Integer::sum) % turn.kind().tickets();
        Load load = new Load(turn, index);
        loads.put(turn.operation(), load);
        requestTurn(load, now, commands);
    }

    private void requestTurn(Load load, Instant now, List<TicketClientCommand> commands) {
        if (live.isEmpty()) {
            return;
        }
        load.owner = owner(load.turn.kind(), load.index);
        load.requests++;
        load.sequence++;
        load.nextRequest = now.plus(REQUEST_INTERVAL);
        load.requestedAt.put(load.sequence, now);
        load.requestedAt
                .values()
                .removeIf(at -> at.isBefore(now.minus(LoadTicketOwner.GRANT_DELIVERY_LIMIT)));
        commands.add(new SendTurnRequest(load.owner, load.turn, load.sequence));
    }

    private void requestFromNextOwner(Load load, Instant now, List<TicketClientCommand> commands) {
        int tickets = load.turn.kind().tickets();
        InstanceId before = load.owner;
        for (int step = 1; step <= tickets; step++) {
            int index = (load.index + step) % tickets;
            if (!owner(load.turn.kind(), index).equals(before)) {
                load.index = index;
                withdrawFromOwner(load, now, commands);
                break;
            }
        }
        load.requests = 0;
        requestTurn(load, now, commands);
    }

    private void withdrawFromOwner(Load load, Instant now, List<TicketClientCommand> commands) {
        if (load.owner != null) {
            returnTurn(load.owner, load.turn.operation(), load.sequence, now, commands);
        }
        load.owner = null;
        load.requests = 0;
    }

    private void onGrant(GrantReceived grant, Instant now, List<TicketClientCommand> commands) {
        Load load = loads.get(grant.operation());
        if (load == null || !grant.from().equals(load.owner)) {
            returnTurn(grant.from(), grant.operation(), grant.sequence(), now, commands);
            return;
        }
        if (load.hasBegun()) {
            return;
        }
        Instant askedAt = load.requestedAt.get(grant.sequence());
        if (askedAt == null || now.isAfter(askedAt.plus(LoadTicketOwner.GRANT_DELIVERY_LIMIT))) {
            return;
        }
        load.holdEndsAt = now.plus(load.turn.hold());
        commands.add(new BeginLoad(grant.operation(), grant.ticket(), load.turn.hold()));
    }

    private void onRefusal(RefusalReceived refused, Instant now) {
        Load load = loads.get(refused.operation());
        if (load == null || load.hasBegun() || !refused.from().equals(load.owner)) {
            return;
        }
        load.owner = null;
        load.index = (load.index + 1) % Math.max(1, refused.ticketsInUse());
        load.requests = 0;
        load.nextRequest = now.plus(REQUEST_DELAY_AFTER_REFUSAL);
    }

    private void onLoadEnded(LoadEnded ended, Instant now, List<TicketClientCommand> commands) {
        Load load = loads.remove(ended.operation());
        endLoad(load, now, commands);
        Duration slow = ended.expectedDuration().multipliedBy(SLOW_LOAD_FACTOR);
        if (load != null && ended.duration().compareTo(slow) > 0) {
            for (InstanceId owner : owners(load.turn.kind())) {
                commands.add(new SendLoadWasSlow(owner, load.turn.kind()));
            }
        }
    }

    private void endLoad(Load load, Instant now, List<TicketClientCommand> commands) {
        if (load != null) {
            withdrawFromOwner(load, now, commands);
        }
    }

    private void returnTurn(
            InstanceId owner,
            OperationId operation,
            long sequence,
            Instant now,
            List<TicketClientCommand> commands) {
        long latest = sequence;
        for (UnconfirmedReturn earlier : returns) {
            if (earlier.owner.equals(owner) && earlier.operation.equals(operation)) {
                latest = Math.max(latest, earlier.sequence);
            }
        }
        returns.removeIf(r -> r.owner.equals(owner) && r.operation.equals(operation));
        returns.add(new UnconfirmedReturn(owner, operation, latest, now.plus(RETURN_INTERVAL)));
        commands.add(new SendTurnReturn(owner, operation, latest));
    }

    private void onViewChanged(
            List<InstanceId> changed, Instant now, List<TicketClientCommand> commands) {
        live = changed;
        for (Load load : loads.values()) {
            if (live.isEmpty() || load.hasBegun()) {
                continue;
            }
            if (!owner(load.turn.kind(), load.index).equals(load.owner)) {
                withdrawFromOwner(load, now, commands);
                requestTurn(load, now, commands);
            }
        }
    }

    private void onTick(Instant now, List<TicketClientCommand> commands) {
        for (Load load : List.copyOf(loads.values())) {
            if (load.hasBegun()) {
                if (now.isAfter(load.holdEndsAt)) {
                    endLoad(loads.remove(load.turn.operation()), now, commands);
                }
            } else if (!live.isEmpty() && !now.isBefore(load.nextRequest)) {
                if (load.requests >= REQUESTS_PER_OWNER) {
                    requestFromNextOwner(load, now, commands);
                } else {
                    requestTurn(load, now, commands);
                }
            }
        }
        returns.removeIf(r -> r.sends >= MAX_RETURN_SENDS);
        for (UnconfirmedReturn unconfirmed : returns) {
            unconfirmed.repeat(now, commands);
        }
    }

    private InstanceId owner(TicketKind kind, int index) {
        return LoadTickets.owner(new LoadTicket(kind, index), live, hasher);
    }

    private Set<InstanceId> owners(TicketKind kind) {
        Set<InstanceId> owners = new LinkedHashSet<>();
        for (int index = 0; index < kind.tickets() && !live.isEmpty(); index++) {
            owners.add(owner(kind, index));
        }
        return owners;
    }

    /** A load that waits for its turn or has it. */
    private static final class Load {
        private final LoadTurn turn;
        private final Map<Long, Instant> requestedAt = new LinkedHashMap<>();
        private int index;
        private InstanceId owner;
        private int requests;
        private long sequence;
        private Instant nextRequest = Instant.EPOCH;
        private Instant holdEndsAt;

        Load(LoadTurn turn, int index) {
            this.turn = turn;
            this.index = index;
        }

        boolean hasBegun() {
            return holdEndsAt != null;
        }
    }

    /** A return that the owner has not yet confirmed. */
    private static final class UnconfirmedReturn {
        private final InstanceId owner;
        private final OperationId operation;
        private final long sequence;
        private Instant nextSend;
        private int sends = 1;

        UnconfirmedReturn(InstanceId owner, OperationId operation, long sequence, Instant nextSend) {
            this.owner = owner;
            this.operation = operation;
            this.sequence = sequence;
            this.nextSend = nextSend;
        }

        boolean isConfirmedBy(ReturnConfirmed confirmed) {
            return owner.equals(confirmed.from())
                    && operation.equals(confirmed.operation())
                    && sequence <= confirmed.sequence();
        }

        void repeat(Instant now, List<TicketClientCommand> commands) {
            if (!now.isBefore(nextSend)) {
                nextSend = now.plus(RETURN_INTERVAL);
                sends++;
                commands.add(new SendTurnReturn(owner, operation, sequence));
            }
        }
    }
}
