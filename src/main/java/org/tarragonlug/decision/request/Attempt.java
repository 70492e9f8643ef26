package org.tarragonlug.decision.request;

import java.time.Instant;
import org.tarragonlug.id.AttemptId;

/** One try of a request at one server, from sending until it ends or is abandoned. */
final class Attempt {
    final AttemptId id;
    final PendingRequest request;
    final BackendServer server;
    final Instant sentAt;

    /** Whether an earlier attempt of the request may have run. */
    final boolean mayHaveRunBefore;

    /** Offset of the first token requested by this attempt. */
    final int startOffset;

    /** Whether this attempt is included in its server's count of running suspects. */
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
