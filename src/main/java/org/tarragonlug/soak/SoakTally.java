package org.tarragonlug.soak;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** How the requests of a soak ended. */
final class SoakTally {
    /** How a request ended for its caller. */
    enum Outcome {
        /** Complete answer of status 2xx. */
        SUCCESS,
        /** Answer that says that the request was not run. */
        REFUSED,
        /** Answer of status 500, 502 or 504, or any other one. */
        FAILED,
        /** Answer that broke off. */
        BROKEN_OFF,
        /** Connection that ended without an answer. */
        CLOSED,
        /** Nothing in time. */
        TIMEOUT,
        /** Gateway that could not be reached, so that nothing was sent. */
        UNREACHABLE
    }

    /** Sends of an id that was refused. */
    final AtomicLong returnsWithSameId = new AtomicLong();

    /** Requests that were sent under a new id after a refusal. */
    final AtomicLong returnsWithNewId = new AtomicLong();

    /** Refusals with status 429, which quotas cause. */
    final AtomicLong refusalsWith429 = new AtomicLong();

    private final Map<Outcome, AtomicLong> outcomes = new EnumMap<>(Outcome.class);

    SoakTally() {
        for (Outcome outcome : Outcome.values()) {
            outcomes.put(outcome, new AtomicLong());
        }
    }

    void count(Outcome outcome) {
        outcomes.get(outcome).incrementAndGet();
    }

    /** Returns all counts as one line of key=value. */
    String line() {
        StringBuilder line = new StringBuilder();
        outcomes.forEach(
                (outcome, count) ->
                        line.append(outcome.name().toLowerCase(Locale.ROOT))
                                .append('=')
                                .append(count)
                                .append(' '));
        return line
                + "returns_with_same_id="
                + returnsWithSameId
                + " returns_with_new_id="
                + returnsWithNewId
                + " refused_with_429="
                + refusalsWith429;
    }
}
