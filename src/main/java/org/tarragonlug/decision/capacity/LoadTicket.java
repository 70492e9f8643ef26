package org.tarragonlug.decision.capacity;

/**
 * A permit for one load at a time from the weight store.
 *
 * @param kind the kind of artifact that may be loaded
 * @param index index of the ticket, from zero and below {@link TicketKind#tickets}
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
