package org.tarragonlug.standin;

/** The ways in which an outside system can be unavailable. */
public enum OutageKind {
    /** The system works. */
    NONE,
    /** The system answers every call with status 503 without executing it. */
    REFUSING,
    /** The system closes the connection of every call without executing it. */
    DISCONNECTING,
    /** The system neither executes nor answers calls. */
    SILENT
}
