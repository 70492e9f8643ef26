package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.id.ServerIncarnation;

/** A send of a request that has not ended: where it went, and what has come back so far. */
final class OpenAttempt {
    final ForwardAttempt id;
    final FleetServer server;

    /** The run of the server's process to which the request was sent. */
    final ServerIncarnation sentTo;

    /** The address to which the request was sent, {@code host:port}. */
    final String address;

    final Instant sentAt;

    /** Whether the server probably had a free slot when the request was sent. */
    final boolean sentToFreeSlot;

    /** Whether the server has begun a stream of events. */
    boolean streaming;

    /** Whether content of the server's answer has arrived. */
    boolean answerBegun;

    /** Whether the present silence of the server was counted against it. */
    boolean stallCounted;

    /** When something last arrived from the server, or when the request was sent. */
    Instant lastProgress;

    /** When the first event of the server's answer arrived; null before. */
    Instant firstEventAt;

    /** Id of the first event of the server's answer. */
    long firstEventId;

    /**
     * Creates the state of a request that is being sent.
     *
     * @param id the attempt that begins
     * @param server the server to which it goes
     */
    OpenAttempt(ForwardAttempt id, FleetServer server, Instant now) {
        this.id = id;
        this.server = server;
        this.sentTo = server.incarnation();
        this.address = server.listing().address();
        this.sentAt = now;
        this.sentToFreeSlot = server.load(now) < server.listing().slots();
        this.lastProgress = now;
    }

    /** Tells whether nothing has arrived from the server for longer than is usual. */
    boolean isSilent(ForwardingRoute route, Instant now) {
        Duration silence = Duration.between(lastProgress, now);
        return silence.compareTo(StallTimeout.of(route, streaming)) >= 0;
    }
}
