package org.tarragonlug.decision.capacity;

import java.time.Duration;

/** The kinds of load tickets, with the limits of the weight store (docs/design.md, section 1.1). */
public enum TicketKind {
    /** Loads of models: 4 at the same time and 4 per second. */
    MODEL(4, Duration.ofSeconds(1)),
    /**
     * Loads of adapters: 30 at the same time. There is no limit per second, because a load takes
     * only milliseconds.
     */
    ADAPTER(30, Duration.ZERO);

    private final int tickets;
    private final Duration interval;

    TicketKind(int tickets, Duration interval) {
        this.tickets = tickets;
        this.interval = interval;
    }

    /** Returns the number of tickets of this kind. */
    public int tickets() {
        return tickets;
    }

    /** Returns the minimum time between two grants of the same ticket. */
    public Duration interval() {
        return interval;
    }
}
