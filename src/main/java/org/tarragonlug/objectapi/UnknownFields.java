package org.tarragonlug.objectapi;

/** How table fields that this release does not know are treated when a table is read. */
public enum UnknownFields {
    /** Reported as faults. Used for an operator's edit, where an unknown field is likely a typo. */
    REJECT,
    /** Ignored. Used for stored objects, which a newer release may have written. */
    IGNORE
}
