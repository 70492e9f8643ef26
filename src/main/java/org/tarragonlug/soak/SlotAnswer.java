package org.tarragonlug.soak;

/** How a server answers a call that asks it to reserve a slot. */
enum SlotAnswer {
    RESERVED(200),
    NO_ROOM(503),
    /** The server does not know such calls. */
    UNKNOWN_CALL(404);

    private final int status;

    SlotAnswer(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }
}
