package org.tarragonlug.gateway;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.tarragonlug.http.AnswerName;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.platform.RequestHeaders;

/** One arrival of a request, what the caller was told and what servers did. */
final class ExploredRequest {
    final long key;
    final String id;
    final AnswerName name;
    final Instant arrivedAt;
    final Set<ServerId> refusedBy = new HashSet<>();

    /** The call whose answer the caller gets. */
    ExploredCall answeringCall;

    boolean streamStarted;

    /** Id of the last event that the caller got; negative before the first one. */
    long lastEventId = -1;

    int answerStatus;
    int begins;
    int ends;
    boolean promised;
    boolean callerLeft;

    ExploredRequest(long key, String id, Instant arrivedAt) {
        this.key = key;
        this.id = id;
        this.name = RequestHeaders.answerName(id);
        this.arrivedAt = arrivedAt;
    }

    boolean isOpen() {
        return ends == 0 && !callerLeft;
    }
}
