package org.tarragonlug.id;

/**
 * Names a slot that a model server has reserved, unique at that server.
 *
 * @param value the non-empty text form
 */
public record ReservationId(String value) {
    public ReservationId {
        Identifiers.requireNonEmpty(value, "ReservationId");
    }

    @Override
    public String toString() {
        return value;
    }
}
