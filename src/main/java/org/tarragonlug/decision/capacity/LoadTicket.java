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
            throw new IllegalArgumentException(
                    "ticket index "
                            + index
                            + " of "
                            + kind
                            + " is not within 0 to "
                            + (kind.tickets() - 1));
        }
    }

    @Override
    public String toString() {
        return kind + "/" + index;
    }
}
