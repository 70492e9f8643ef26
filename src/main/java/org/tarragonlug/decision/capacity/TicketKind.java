package org.tarragonlug.decision.capacity;

import java.time.Duration;

/** The kinds of load tickets, with the limits of the weight store (docs/design.md, section 1.1). */
public enum TicketKind {
    /** Loads of models: 4 at once and 4 a second. */
    MODEL(4, Duration.ofSeconds(1)),
    /**
     * Loads of adapters: 30 at once; a load takes milliseconds, so there is no limit per second.
     */
    ADAPTER(30, Duration.ZERO);

    private final int tickets;
    private final Duration interval;

    TicketKind(int tickets, Duration interval) {
        this.tickets = tickets;
        this.interval = interval;
    }

    /** Returns how many tickets there are. */
    public int tickets() {
        return tickets;
    }

    /** Returns the least time between two grants of one ticket. */
    public Duration interval() {
        return interval;
    }
}
