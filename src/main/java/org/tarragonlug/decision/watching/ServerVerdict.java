package org.tarragonlug.decision.watching;

/** What is to be done with the entry of a server that was read. */
public enum ServerVerdict {
    /** The entry is used. */
    CURRENT,
    /** The server has said something else since; the entry is ignored. */
    OUTDATED,
    /** The server's entry had been removed; this one is not used until it is renewed. */
    WITHHELD
}
