package org.tarragonlug.soak;

import java.util.Random;
import org.tarragonlug.id.RequestId;

/** What servers answer to a request: a function of its id, so that callers can check each byte. */
final class AnswerContent {
    private static final int SHORT_BYTES = 200;
    private static final int LONG_BYTES = 40_000;
    private static final int LONG_SHARE = 8;
    private static final int FEWEST_EVENTS = 3;
    private static final int EVENT_COUNTS = 10;

    private AnswerContent() {}

    private static Random random(RequestId id) {
        return new Random(id.value().hashCode());
    }

    /** Returns the whole body of an answer that is no stream. */
    static String body(RequestId id) {
        Random random = random(id);
        int bound = random.nextInt(LONG_SHARE) == 0 ? LONG_BYTES : SHORT_BYTES;
        return "answer to " + id + " " + "x".repeat(random.nextInt(bound)) + " end of " + id;
    }

    /** Returns the number of events of a stream. */
    static int eventCount(RequestId id) {
        return FEWEST_EVENTS + random(id).nextInt(EVENT_COUNTS);
    }

    /**
     * Returns an event of a stream.
     *
     * @param number number of the event, from 1
     */
    static String event(RequestId id, int number) {
        return "id: " + number + "\ndata: event " + number + " for " + id + "\n\n";
    }

    /** Returns all events of a stream. */
    static String events(RequestId id) {
        StringBuilder text = new StringBuilder();
        for (int number = 1; number <= eventCount(id); number++) {
            text.append(event(id, number));
        }
        return text.toString();
    }

    /** Returns the whole body of a successful answer. */
    static String success(RequestId id, RequestKind kind) {
        return kind.isStreaming() ? events(id) : body(id);
    }
}
