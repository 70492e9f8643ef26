package org.tarragonlug.runtime;

/** What the engines of a server group do with an order that carries an old fencing number. */
public enum FencingKind {
    /** They refuse it. */
    CHECKED,
    /** They execute it; the safe assumption where nothing is known. */
    IGNORED
}
