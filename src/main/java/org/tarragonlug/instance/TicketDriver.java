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

/**
 * Runs both sides of the load ticket protocol: the owner of the tickets that this instance owns,
 * and the client that requests turns for loads.
 */
final class TicketDriver {
    /** Listener for the grant of a load turn. */
    interface TurnListener {
        /** Called when the load may begin. A load that exceeds the hold time counts as failed. */
        void onTurnGranted(OperationId operation, Duration hold);
    }

    private static final Duration TICK = Duration.ofMillis(50);

    private final InstanceContext context;
    private final PeerMessageDispatcher peers;
    private final LoadTicketClient client;
    private final LoadTicketOwner owner;
    private final Map<OperationId, TurnListener> turnListeners = new HashMap<>();

    TicketDriver(InstanceContext context, PeerMessageDispatcher peers) {
        this.context = context;
        this.peers = peers;
        this.client = new LoadTicketClient(context.hasher());
        this.owner = new LoadTicketOwner(context.instance(), context.hasher());
        registerMessageHandlers();
    }

    private void registerMessageHandlers() {
        peers.setHandler(
                PeerMessage.LoadTurnRequest.class,
                (from, message) ->
                        handleOwnerEvent(
                                new TicketOwnerEvent.TurnRequested(
                                        from, message.turn(), message.sequence())));
        peers.setHandler(
                PeerMessage.LoadTurnReturn.class,
                (from, message) ->
                        handleOwnerEvent(
                                new TicketOwnerEvent.TurnReturned(
                                        from, message.operation(), message.sequence())));
        peers.setHandler(
                PeerMessage.LoadWasSlow.class,
                (from, message) ->
                        handleOwnerEvent(new TicketOwnerEvent.LoadWasSlow(message.ticketKind())));
        peers.setHandler(
                PeerMessage.LoadTurnGrant.class,
                (from, message) ->
                        handleClientEvent(
                                new TicketClientEvent.GrantReceived(
                                        from,
                                        message.operation(),
                                        message.ticket(),
                                        message.sequence())));
        peers.setHandler(
                PeerMessage.LoadTurnRefused.class,
                (from, message) ->
                        handleClientEvent(
                                new TicketClientEvent.RefusalReceived(
                                        from, message.operation(), message.ticketsInUse())));
        peers.setHandler(
                PeerMessage.LoadTurnReturnReceived.class,
                (from, message) ->
                        handleClientEvent(
                                new TicketClientEvent.ReturnConfirmed(
                                        from, message.operation(), message.sequence())));
    }

    void start() {
        context.every(
                TICK,
                () -> {
                    handleOwnerEvent(new TicketOwnerEvent.OwnerTick());
                    handleClientEvent(new TicketClientEvent.ClientTick());
                });
    }

    void onViewChanged(List<InstanceId> live) {
        handleOwnerEvent(new TicketOwnerEvent.OwnerViewChanged(live));
        handleClientEvent(new TicketClientEvent.ClientViewChanged(live));
    }

    /** Requests a turn. The listener is called at most once, when the turn is granted. */
    void requestTurn(LoadTurn turn, TurnListener listener) {
        turnListeners.put(turn.operation(), listener);
        handleClientEvent(new TicketClientEvent.TurnNeeded(turn));
    }

    /**
     * Withdraws the request for a turn, or returns a granted turn whose load was not begun or has
     * no meaningful duration.
     */
    void cancelTurn(OperationId operation) {
        turnListeners.remove(operation);
        handleClientEvent(new TicketClientEvent.TurnNoLongerNeeded(operation));
    }

    /**
     * Returns the turn of a load that has ended to the ticket's owner, and reports the actual and
     * the expected duration of the load.
     */
    void onLoadEnded(OperationId operation, Duration took, Duration expected) {
        handleClientEvent(new TicketClientEvent.LoadEnded(operation, took, expected));
    }

    private void handleClientEvent(TicketClientEvent event) {
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
            TurnListener listener = turnListeners.remove(begin.operation());
            if (listener != null) {
                listener.onTurnGranted(begin.operation(), begin.hold());
            }
        }
    }

    private void handleOwnerEvent(TicketOwnerEvent event) {
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
