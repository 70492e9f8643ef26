package org.tarragonlug.instance;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonlug.decision.capacity.LoadTicketClient;
import org.tarragonlug.decision.capacity.LoadTicketOwner;
import org.tarragonlug.decision.capacity.LoadTurn;
import org.tarragonlug.decision.capacity.TicketClientCommand;
import org.tarragonlug.decision.capacity.TicketClientEvent;
import org.tarragonlug.decision.capacity.TicketOwnerCommand;
import org.tarragonlug.decision.capacity.TicketOwnerEvent;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.peer.PeerMessage;

/** Runs both sides of the load tickets: those that this instance owns, and turns it asks for. */
final class TicketDriver {
    /** Told when a turn has come. */
    interface TurnListener {
        /** Called when the load may begin; it counts as failed after the hold time. */
        void turnGranted(OperationId operation, Duration hold);
    }

    private static final Duration TICK = Duration.ofMillis(50);

    private final InstanceContext context;
    private final PeerSwitch peers;
    private final LoadTicketClient client;
    private final LoadTicketOwner owner;
    private final Map<OperationId, TurnListener> waiting = new HashMap<>();

    TicketDriver(InstanceContext context, PeerSwitch peers) {
        this.context = context;
        this.peers = peers;
        this.client = new LoadTicketClient(context.hasher());
        this.owner = new LoadTicketOwner(context.instance(), context.hasher());
        handleMessages();
    }

    private void handleMessages() {
        peers.handle(
                PeerMessage.LoadTurnRequest.class,
                (from, message) ->
                        ownerEvent(
                                new TicketOwnerEvent.TurnRequested(
                                        from, message.turn(), message.sequence())));
        peers.handle(
                PeerMessage.LoadTurnReturn.class,
                (from, message) ->
                        ownerEvent(
                                new TicketOwnerEvent.TurnReturned(
                                        from, message.operation(), message.sequence())));
        peers.handle(
                PeerMessage.LoadWasSlow.class,
                (from, message) ->
                        ownerEvent(new TicketOwnerEvent.LoadWasSlow(message.ticketKind())));
        peers.handle(
                PeerMessage.LoadTurnGrant.class,
                (from, message) ->
                        clientEvent(
                                new TicketClientEvent.GrantReceived(
                                        from,
                                        message.operation(),
                                        message.ticket(),
                                        message.sequence())));
        peers.handle(
                PeerMessage.LoadTurnRefused.class,
                (from, message) ->
                        clientEvent(
                                new TicketClientEvent.RefusalReceived(
                                        from, message.operation(), message.ticketsInUse())));
        peers.handle(
                PeerMessage.LoadTurnReturnReceived.class,
                (from, message) ->
                        clientEvent(
                                new TicketClientEvent.ReturnConfirmed(
                                        from, message.operation(), message.sequence())));
    }

    void start() {
        context.every(
                TICK,
                () -> {
                    ownerEvent(new TicketOwnerEvent.OwnerTick());
                    clientEvent(new TicketClientEvent.ClientTick());
                });
    }

    void viewChanged(List<InstanceId> live) {
        ownerEvent(new TicketOwnerEvent.OwnerViewChanged(live));
        clientEvent(new TicketClientEvent.ClientViewChanged(live));
    }

    /** Asks for a turn. */
    void want(LoadTurn turn, TurnListener listener) {
        waiting.put(turn.operation(), listener);
        clientEvent(new TicketClientEvent.TurnNeeded(turn));
    }

    /** Gives up a turn whose load was not begun. */
    void giveUp(OperationId operation) {
        waiting.remove(operation);
        clientEvent(new TicketClientEvent.TurnNoLongerNeeded(operation));
    }

    /** Reports the end of a load that was begun. */
    void ended(OperationId operation, Duration took, Duration usual) {
        clientEvent(new TicketClientEvent.LoadEnded(operation, took, usual));
    }

    private void clientEvent(TicketClientEvent event) {
        Instant now = context.now();
        for (TicketClientCommand command : client.handle(event, now)) {
            execute(command);
        }
    }

    private void execute(TicketClientCommand command) {
        int version = PeerMessage.FORMAT_VERSION;
        if (command instanceof TicketClientCommand.SendTurnRequest send) {
            peers.send(
                    send.to(),
                    new PeerMessage.LoadTurnRequest(version, send.turn(), send.sequence()));
        } else if (command instanceof TicketClientCommand.SendTurnReturn send) {
            peers.send(
                    send.to(),
                    new PeerMessage.LoadTurnReturn(version, send.operation(), send.sequence()));
        } else if (command instanceof TicketClientCommand.SendLoadWasSlow send) {
            peers.send(send.to(), new PeerMessage.LoadWasSlow(version, send.kind()));
        } else if (command instanceof TicketClientCommand.BeginLoad begin) {
            TurnListener listener = waiting.remove(begin.operation());
            if (listener != null) {
                listener.turnGranted(begin.operation(), begin.hold());
            }
        }
    }

    private void ownerEvent(TicketOwnerEvent event) {
        for (TicketOwnerCommand command : owner.handle(event, context.now())) {
            execute(command);
        }
    }

    private void execute(TicketOwnerCommand command) {
        int version = PeerMessage.FORMAT_VERSION;
        if (command instanceof TicketOwnerCommand.SendGrant grant) {
            peers.send(
                    grant.to(),
                    new PeerMessage.LoadTurnGrant(
                            version,
                            grant.operation(),
                            grant.ticket(),
                            grant.hold(),
                            grant.sequence()));
        } else if (command instanceof TicketOwnerCommand.SendRefusal refused) {
            peers.send(
                    refused.to(),
                    new PeerMessage.LoadTurnRefused(
                            version, refused.operation(), refused.ticketsInUse()));
        } else if (command instanceof TicketOwnerCommand.SendReturnReceived received) {
            peers.send(
                    received.to(),
                    new PeerMessage.LoadTurnReturnReceived(
                            version, received.operation(), received.sequence()));
        }
    }
}
