package org.tarragonlug.standin;

/** How an outside system is down. */
public enum OutageKind {
    /** It is not. */
    NONE,
    /** It answers every call with 503 and does nothing. */
    REFUSING,
    /** It closes the connection of every call and does nothing. */
    DISCONNECTING,
    /** It never answers and does nothing. */
    SILENT
}
