package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** What servers and callers have seen of one request. */
final class RequestRecord {
    /** A run at a server. Times are in milliseconds. */
    static final class Run {
        final ServerArrival arrival;
        final long beginMillis;

        /** How it has ended; null while it goes on. */
        RunEnd end;

        /** When it has ended; after all other times while it goes on. */
        long endMillis = Long.MAX_VALUE;

        /** Whether a copy of another answer came before its answer, on the same connection. */
        boolean disturbed;

        /** Whether the server has begun a stream of events. */
        boolean answering;

        Run(ServerArrival arrival, long beginMillis) {
            this.arrival = arrival;
            this.beginMillis = beginMillis;
        }

        boolean hasEnded() {
            return end != null;
        }

        private boolean isWithin(UnansweredRequest request) {
            return beginMillis >= request.sentMillis() && beginMillis <= request.endMillis();
        }
    }

    final RequestKind kind;
    final RequestHistory history = new RequestHistory();
    final List<Run> runs = new ArrayList<>();

    /** Arrivals before whose answer a copy of an earlier one was sent. */
    private final Set<ServerArrival> disturbed = new HashSet<>();

    /** The gateway to which it was sent last. */
    int gateway;

    /** The version that has added its route, for routes that versions add. */
    int version;

    /** When its caller sent it last. */
    long sentMillis;

    /** When the last send has ended for its caller; 0 while it has not. */
    long endMillis;

    /** When a server last said that it does not run it; before all other times if none has. */
    long refusedMillis = Long.MIN_VALUE;

    /** When a server last ended its connection without an answer; as above if none has. */
    long closedMillis = Long.MIN_VALUE;

    /** Status of the answer to the last send that says that it was not run; 0 for none. */
    int refusalStatus;

    RequestRecord(RequestKind kind, int gateway) {
        this.kind = kind;
        this.gateway = gateway;
    }

    /** Adds a run that begins. */
    void begin(ServerArrival arrival, long millis) {
        Run run = new Run(arrival, millis);
        run.disturbed = disturbed.contains(arrival);
        runs.add(run);
    }

    /** Records that a copy of an earlier answer was sent while an arrival waited. */
    void disturb(ServerArrival arrival) {
        disturbed.add(arrival);
        runs.stream()
                .filter(run -> run.arrival.equals(arrival) && !run.hasEnded())
                .forEach(run -> run.disturbed = true);
    }

    /** Records that the server of an arrival has begun a stream of events. */
    void answer(ServerArrival arrival) {
        runs.stream()
                .filter(run -> run.arrival.equals(arrival) && !run.hasEnded())
                .forEach(run -> run.answering = true);
    }

    /** Returns whether a server has begun to run a send. */
    boolean hasRun(UnansweredRequest request) {
        return runs.stream().anyMatch(run -> run.isWithin(request));
    }

    /** Returns the run of a send that ended last, but for those that ended with a failure. */
    Optional<Run> lastRun(UnansweredRequest request) {
        return runs.stream()
                .filter(run -> run.isWithin(request) && run.end != RunEnd.FAILED)
                .max(Comparator.comparingLong(run -> run.endMillis));
    }

    /** Returns the runs of a send that their servers have broken off. */
    Stream<Run> brokenOff(UnansweredRequest request) {
        return runs.stream().filter(run -> run.isWithin(request) && run.end == RunEnd.BROKEN_OFF);
    }

    /** Returns whether the last server that had a send said that it does not run it. */
    boolean isRefusedLast(UnansweredRequest request) {
        return refusedMillis >= request.sentMillis() && refusedMillis > closedMillis;
    }

    /**
     * Returns for how long two runs that have ended went on beside each other. A later one whose
     * answer has begun counts until the earlier one ends, since the stream has gone on there.
     */
    static long millisBeside(Run run, Run other) {
        Run earlier = run.beginMillis <= other.beginMillis ? run : other;
        Run later = earlier == run ? other : run;
        long until =
                later.answering ? earlier.endMillis : Math.min(earlier.endMillis, later.endMillis);
        return until - later.beginMillis;
    }

    /**
     * Returns whether the earlier of two runs went on for long after the begin of the later one.
     */
    static boolean isBegunBeside(Run run, Run other, long millis) {
        Run earlier = run.beginMillis <= other.beginMillis ? run : other;
        Run later = earlier == run ? other : run;
        return earlier.endMillis - later.beginMillis > millis;
    }

    /** Returns for how long a run that has just ended went on after its caller had its answer. */
    long millisAfterEnd(Run run) {
        if (endMillis == 0 || run.beginMillis < sentMillis) {
            return 0;
        }
        // A server that reads the request late may begin after its connection was closed.
        boolean cut = run.end == RunEnd.WITHDRAWN || run.end == RunEnd.BROKEN_OFF;
        boolean late = cut && run.beginMillis > endMillis;
        return run.endMillis - (late ? run.beginMillis : endMillis);
    }

    /** Returns the servers that began to run the request, in order. */
    String servers() {
        return String.join(", ", runs.stream().map(run -> run.arrival.server()).toList());
    }
}
