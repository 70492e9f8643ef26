package org.tarragonlug.instance;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.caller.CallerAnswer;
import org.tarragonlug.caller.CallerRequest;
import org.tarragonlug.id.AttemptId;

/** What the edge holds for one request in progress. */
final class Exchange {
    private final CallerRequest request;
    private final CallerAnswer answer;
    private final Instant arrivedAt;
    private final List<AttemptId> attempts = new ArrayList<>(1);
    private boolean tokenForwarded;

    Exchange(CallerRequest request, CallerAnswer answer, Instant arrivedAt) {
        this.request = request;
        this.answer = answer;
        this.arrivedAt = arrivedAt;
    }

    CallerRequest request() {
        return request;
    }

    CallerAnswer answer() {
        return answer;
    }

    Instant arrivedAt() {
        return arrivedAt;
    }

    List<AttemptId> attempts() {
        return attempts;
    }

    /** Tells whether this is the first token, once. */
    boolean markFirstToken() {
        boolean first = !tokenForwarded;
        tokenForwarded = true;
        return first;
    }
}
