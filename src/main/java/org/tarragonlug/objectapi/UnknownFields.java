package org.tarragonlug.objectapi;

/** What a reader of tables does with fields that this release does not know. */
public enum UnknownFields {
    /** They are faults: an operator's edit is checked, and an unknown field is likely a typo. */
    REJECT,
    /** They are ignored: a stored object may have been written by a newer release. */
    IGNORE
}
