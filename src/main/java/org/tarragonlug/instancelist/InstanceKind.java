package org.tarragonlug.instancelist;

/** The kind of program that runs on a listed instance. */
public enum InstanceKind {
    /** An entry instance of this system. */
    ENTRY,
    /** A backend server with a model engine. */
    ENGINE,
    /** A backend server of a plain service. */
    SERVICE
}
