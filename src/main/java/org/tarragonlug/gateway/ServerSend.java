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

    /** Returns the place of the request on its connection; empty until the request is written. */
    Optional<CallPosition> position() {
        return position;
    }

    Duration age(Instant now) {
        return Duration.between(startedAt, now);
    }

    void onWritten(CallPosition place) {
        position = Optional.of(place);
    }

    void onRejected(Rejection reason, Instant now) {
        rejection = Optional.of(reason);
        end(Outcome.REJECTED, now);
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

    /** Only the first end counts: the connection is closed after it. */
    private void end(Outcome how, Instant now) {
        if (outcome == Outcome.UNDER_WAY) {
            outcome = how;
            endedAt = now;
        }
    }

    /** Returns whether a server stated that it did not run the request. */
    boolean isRejectedByServer() {
        return rejection.filter(Rejection::reachedServer).isPresent();
    }

    /** Returns whether the request was not written, so that no server can have run it. */
    boolean isUnwritten() {
        return rejection.filter(reason -> !reason.reachedServer()).isPresent();
    }

    /** Returns what became of the send; a rejection is described by its reason. */
    private String describeOutcome() {
        return outcome == Outcome.REJECTED
                ? rejection.map(Rejection::name).orElseThrow()
                : outcome.name();
    }

    /**
     * Returns {@code SERVER@ADDRESS/CONNECTION+EARLIER_CALLS/OUTCOME/MILLIS}: the connection by its
     * local port, 0 if the request was not written, and the time from the send to its outcome.
     */
    @Override
    public String toString() {
        return server()
                + "@"
                + command.address()
                + "/"
                + position.map(CallPosition::localPort).orElse(0)
                + "+"
                + position.map(CallPosition::earlierCalls).orElse(0)
                + "/"
                + describeOutcome()
                + "/"
                + age(endedAt).toMillis()
                + "ms";
    }
}
