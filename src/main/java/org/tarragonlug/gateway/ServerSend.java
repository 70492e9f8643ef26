package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.http.CallPosition;

/** One send of a request to a server, and what became of it. */
final class ServerSend {
    private enum Outcome {
        UNDER_WAY,
        /** The server stated that it did not run the request, or the request was not sent. */
        REJECTED,
        ANSWERED,
        BROKEN,
        CANCELLED
    }

    private final ForwardingCommand.Send command;
    private final Instant startedAt;
    private Optional<CallPosition> position = Optional.empty();
    private Optional<Rejection> rejection = Optional.empty();
    private Outcome outcome = Outcome.UNDER_WAY;
    private Instant endedAt;

    /**
     * Creates the record of a send that begins.
     *
     * @param command what is sent, and where to
     * @param now when the send begins
     */
    ServerSend(ForwardingCommand.Send command, Instant now) {
        this.command = command;
        this.startedAt = now;
        this.endedAt = now;
    }

    ForwardingCommand.Send command() {
        return command;
    }

    String server() {
        return command.server().value();
    }

    /** Returns the place of the request on its connection; empty until it has a connection. */
    Optional<CallPosition> position() {
        return position;
    }

    /** Returns what tells the connection from others that are open at the same time. */
    String connection() {
        return command.address() + "/" + position.map(CallPosition::localPort).orElse(0);
    }

    Duration age(Instant now) {
        return Duration.between(startedAt, now);
    }

    /** Records the connection on which the request is about to be written. */
    void onConnectionReserved(CallPosition place) {
        position = Optional.of(place);
    }

    void onRejected(Rejection reason, Instant now) {
        if (end(Outcome.REJECTED, now)) {
            rejection = Optional.of(reason);
        }
    }

    void onAnswered(Instant now) {
        end(Outcome.ANSWERED, now);
    }

    void onBroken(Instant now) {
        end(Outcome.BROKEN, now);
    }

    void onCancelled(Instant now) {
        end(Outcome.CANCELLED, now);
    }

    /**
     * Records how the send ended. Only the first end counts: the connection is closed after it.
     *
     * @return whether this is the first end
     */
    private boolean end(Outcome how, Instant now) {
        if (outcome != Outcome.UNDER_WAY) {
            return false;
        }
        outcome = how;
        endedAt = now;
        return true;
    }

    /** Returns whether the send has been answered, has broken off or was cancelled. */
    boolean hasEnded() {
        return outcome != Outcome.UNDER_WAY;
    }

    /** Returns whether the answer of the server is that of the request. */
    boolean isAnswered() {
        return outcome == Outcome.ANSWERED;
    }

    /** Returns whether a server stated that it did not run the request. */
    boolean isRejectedByServer() {
        return rejection.filter(Rejection::reachedServer).isPresent();
    }

    /** Returns whether the request was not written, so that no server can have run it. */
    boolean isUnwritten() {
        return rejection.filter(reason -> !reason.reachedServer()).isPresent();
    }

    /**
     * Returns {@code SERVER@ADDRESS/CONNECTION+EARLIER_CALLS/OUTCOME/MILLIS}: the connection by its
     * local port, 0 if there was none, and the time from the send to its outcome.
     */
    @Override
    public String toString() {
        return server()
                + "@"
                + connection()
                + "+"
                + position.map(CallPosition::earlierCalls).orElse(0)
                + "/"
                + rejection.map(Rejection::name).orElse(outcome.name())
                + "/"
                + age(endedAt).toMillis()
                + "ms";
    }
}
