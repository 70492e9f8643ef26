package org.tarragonlug.decision.forwarding;

/** Why a server has not reserved a slot for a request. */
public enum SlotRefusal {
    /** The server has no room, or gave no usable answer. */
    NO_ROOM,
    /** The server does not know such calls. */
    NOT_SUPPORTED
}
