package org.tarragonlug.soak;

import java.util.Optional;
import java.util.Random;
import org.tarragonlug.id.RequestId;

/** How a server refuses to go on with a stream that another one has begun. */
enum ResumptionRefusal {
    /** It states that it has not run the request since all its slots are taken. */
    FULL(Treatment.End.KEEP) {
        @Override
        byte[] answer(SoakServer server, RequestId id) {
            return ServerAnswers.full(server, id);
        }
    },
    /** It answers with the same status without that statement. */
    UNAVAILABLE(Treatment.End.KEEP) {
        @Override
        byte[] answer(SoakServer server, RequestId id) {
            return ServerAnswers.unavailable(server, id);
        }
    },
    /** It runs the request and answers with a failure. */
    FAILED(Treatment.End.KEEP) {
        @Override
        boolean isRun() {
            return true;
        }
    },
    /** It closes the connection without an answer. */
    CLOSED(Treatment.End.CLOSE),
    /** It resets the connection without an answer. */
    RESET(Treatment.End.RESET);

    private static final byte[] NO_ANSWER = new byte[0];
    private static final int PERCENT_OF_EACH = 15;

    private final Treatment.End end;

    ResumptionRefusal(Treatment.End end) {
        this.end = end;
    }

    /** Draws whether and how a resumption is refused. */
    static Optional<ResumptionRefusal> draw(Random random) {
        int place = random.nextInt(100) / PERCENT_OF_EACH;
        return place < values().length ? Optional.of(values()[place]) : Optional.empty();
    }

    /** Returns the bytes of the answer; none if there is no answer or the request is run. */
    byte[] answer(SoakServer server, RequestId id) {
        return NO_ANSWER;
    }

    /** Returns whether the server begins to run the request. */
    boolean isRun() {
        return false;
    }

    /** Returns what happens to the connection. */
    Treatment.End end() {
        return end;
    }
}
