package org.tarragonlug.decision.forwarding;

/** What is wrong with something that a server says about itself. */
public enum NoticeFault {
    /** The server does not say in a known way whether it leaves; it counts as staying. */
    LEAVING_UNKNOWN,
    /** The length of the pause is no number of seconds; there is no pause. */
    PAUSE_UNREADABLE,
    /** The pause is longer than any that is believed, and is shortened to that. */
    PAUSE_TOO_LONG,
    /** The load is not three or four numbers; it counts as not stated. */
    LOAD_UNREADABLE,
    /** The pace is no positive whole number; it counts as not stated, beside a load that counts. */
    PACE_UNREADABLE,
    /** The pace is slower than any that is believed, and is reduced to that. */
    PACE_TOO_LARGE
}
