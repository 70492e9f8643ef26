package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** What servers and callers have seen of one request. */
final class RequestRecord {
    /** A run at a server. Times are in milliseconds. */
    static final class Run {
        final ServerArrival arrival;
        final long beginMillis;

        /** When the gateway sent the request, derived from the time that it left the server. */
        final long sentMillis;

        boolean ended;

        Run(ServerArrival arrival, long beginMillis, long sentMillis) {
            this.arrival = arrival;
            this.beginMillis = beginMillis;
            this.sentMillis = sentMillis;
        }
    }

    final RequestKind kind;
    final RequestHistory history = new RequestHistory();
    final List<Run> runs = new ArrayList<>();

    /** The gateway to which it was sent last. */
    int gateway;

    /** When its caller sent it last. */
    long sentMillis;

    /** Status of the answer to the last send that says that it was not run; 0 for none. */
    int refusalStatus;

    RequestRecord(RequestKind kind, int gateway) {
        this.kind = kind;
        this.gateway = gateway;
    }

    /** Adds a run that begins. */
    void begin(ServerArrival arrival, long millis) {
        long remaining = arrival.remainingMillis();
        long sent = remaining == 0 ? millis : sentMillis + kind.deadlineMillis() - remaining;
        runs.add(new Run(arrival, millis, sent));
    }

    /**
     * Returns the first run that began at a server to which the request was sent after another run.
     * Servers may begin in another order than the requests were sent.
     */
    Optional<Run> nextAfter(Run run) {
        return runs.stream()
                .filter(other -> other != run && isSentAfter(other, run))
                .min(Comparator.comparingLong(other -> other.beginMillis));
    }

    private boolean isSentAfter(Run later, Run run) {
        if (later.sentMillis == run.sentMillis) {
            return runs.indexOf(later) > runs.indexOf(run);
        }
        return later.sentMillis > run.sentMillis;
    }

    /** Returns the servers that began to run the request, in order. */
    String servers() {
        return String.join(", ", runs.stream().map(run -> run.arrival.server()).toList());
    }
}
