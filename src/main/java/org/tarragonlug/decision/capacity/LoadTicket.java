package org.tarragonlug.decision.capacity;

/**
 * A permit for one load at a time from the weight store.
 *
 * @param kind what it permits to load
 * @param index zero or more, below {@link TicketKind#tickets}
 */
public record LoadTicket(TicketKind kind, int index) {
    public LoadTicket {
        if (index < 0 || index >= kind.tickets()) {
            throw new IllegalArgumentException("There is no ticket " + index + " of " + kind);
        }
    }

    @Override
    public String toString() {
        return kind + "/" + index;
    }
}
