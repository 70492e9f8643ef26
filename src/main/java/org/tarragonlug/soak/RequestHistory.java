package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What callers and servers have seen of one request, in order. It tells for each finding what led
 * to it, whatever the gateways log.
 */
final class RequestHistory {
    /** Something that a caller or a server has seen. */
    enum Step {
        /** A caller has sent the request to a gateway. */
        SENT,
        /** A server has said that it does not run the request. */
        REFUSED,
        /** A server has ended its connection without an answer. */
        CLOSED,
        /** A server has begun to run the request. */
        BEGUN,
        /** A server has begun a stream of events. */
        STREAM_BEGUN,
        /** A server has written its whole answer. */
        RUN_ENDED,
        /** A server has answered with a failure. */
        RUN_FAILED,
        /** A server has broken off. */
        RUN_BROKEN_OFF,
        /** The gateway has closed the connection to a server that runs the request. */
        RUN_WITHDRAWN,
        /**
         * The copy of an answer has met the same request, which waited on that connection again.
         */
        COPY_MET,
        /** The copy of an answer has met another request, which waited on that connection. */
        FOREIGN_COPY_MET,
        /** A caller has got an answer. */
        ANSWERED,
        /** The connection of a caller has ended without a whole answer. */
        UNANSWERED
    }

    private record Entry(Step step, long millis, String place, int status) {
        private String text(long beginMillis) {
            String name = step.name().toLowerCase(Locale.ROOT);
            String text = "+" + (millis - beginMillis) + "ms " + name + "@" + place;
            return status == 0 ? text : text + " status=" + status;
        }
    }

    private final List<Entry> entries = new ArrayList<>();

    /**
     * Adds a step.
     *
     * @param place the gateway or the server with its connection
     * @param status the status of an answer; 0 if the step has none
     */
    void add(Step step, long millis, String place, int status) {
        entries.add(new Entry(step, millis, place, status));
    }

    /** Returns whether a step has happened. */
    boolean has(Step step) {
        return entries.stream().anyMatch(entry -> entry.step() == step);
    }

    /** Returns all steps with their times since the first one. */
    @Override
    public String toString() {
        long begin = entries.isEmpty() ? 0 : entries.get(0).millis();
        return String.join("; ", entries.stream().map(entry -> entry.text(begin)).toList());
    }
}
