package org.tarragonlug.runtime;

/** A part that starts its children in order and restarts those that fail. */
public interface Supervisor extends SupervisedPart, FailureListener {
    /**
     * Adds a child. Children are started in the order in which they were added and stopped in
     * reverse order.
     *
     * @param child the part to supervise
     */
    void add(SupervisedPart child);
}
