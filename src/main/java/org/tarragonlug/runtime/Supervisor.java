package org.tarragonlug.runtime;

/** A part that starts its children in order and restarts those that fail. */
public interface Supervisor extends SupervisedPart, FailureListener {
    /**
     * Adds a child; children start in the order of their addition and stop in reverse.
     *
     * @param child the part
     */
    void add(SupervisedPart child);
}
