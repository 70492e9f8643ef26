package org.tarragonlug.gateway;

import java.util.Map;
import org.tarragonlug.decision.forwarding.ForwardAttempt;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.http.ModelConnection;

/** One send of a request: its state at this instance, and its state at the server. */
final class ExploredCall {
    /** What the server has done with the request. */
    enum AtServer {
        NOT_WRITTEN,
        UNREAD,
        RUNNING,
        ENDED
    }

    final ExploredRequest request;
    final ForwardAttempt attempt;
    final String server;
    final String address;
    ServerAttempt receiver;
    ModelConnection connection;
    AtServer atServer = AtServer.NOT_WRITTEN;
    boolean newConnectionOnly;
    boolean moved;

    /** Whether the call has not ended at this instance. */
    boolean open = true;

    boolean headReceived;

    /** Whether the instance has taken the head of a stream for the answer to this call. */
    boolean answerAccepted;

    long nextEventId;

    /** The head that the server has sent; status 0 before. */
    int sentStatus;

    Map<String, String> sentHeaders = Map.of();

    ExploredCall(ExploredRequest request, ForwardingCommand.Send send, boolean newConnection) {
        this.request = request;
        this.attempt = send.attempt();
        this.server = send.server().value();
        this.address = send.address();
        this.nextEventId = send.lastEventId() + 1;
        this.newConnectionOnly = newConnection;
    }

    boolean isConnecting() {
        return open && connection == null;
    }

    boolean isUnread() {
        return atServer == AtServer.UNREAD;
    }

    boolean isAnswered() {
        return sentStatus != 0;
    }

    /** Returns whether the server runs the request and the instance waits for the answer. */
    boolean isRunning() {
        return open && atServer == AtServer.RUNNING;
    }

    /** Ends the call at this instance, and closes its connection. */
    void close() {
        open = false;
        if (connection != null) {
            connection.close();
        }
    }
}
