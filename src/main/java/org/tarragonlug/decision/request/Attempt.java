package org.tarragonlug.decision.request;

import java.time.Instant;
import org.tarragonlug.id.AttemptId;

/** One sending of a request to a server, until it ends or is abandoned. */
final class Attempt {
    final AttemptId id;
    final PendingRequest request;
    final BackendServer server;
    final Instant sentAt;

    /** Whether the request may have run by an attempt before this one. */
    final boolean mayHaveRunBefore;

    /** Offset of the first token it was asked for. */
    final int startOffset;

    /** Whether it counts as a suspect at its server. */
    boolean countedAsSuspect;

    TimerHeap.Timer progressTimer;
    Instant lastProgressAt;

    Attempt(AttemptId id, PendingRequest request, BackendServer server, Instant sentAt) {
        this.id = id;
        this.request = request;
        this.server = server;
        this.sentAt = sentAt;
        countedAsSuspect = request.isolated;
        mayHaveRunBefore = request.mayHaveRun;
        startOffset = request.stream.nextOffset();
        lastProgressAt = sentAt;
    }

    boolean hasProgressed() {
        return request.stream.nextOffset() > startOffset;
    }
}
