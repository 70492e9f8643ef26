package org.tarragonlug.instancelist;

/** What runs on an instance. */
public enum InstanceKind {
    /** An entry instance of this system. */
    ENTRY,
    /** A backend server with a model engine. */
    ENGINE,
    /** A backend server of a plain service. */
    SERVICE
}
