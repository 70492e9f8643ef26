package org.tarragonlug.decision;

/** Listener for violations of invariants that the running program checks. */
@FunctionalInterface
public interface InvariantListener {
    /**
     * Handles the violation of an invariant.
     *
     * @param invariant the violated invariant
     * @param detail description of the violation, in one line
     */
    void invariantViolated(Invariant invariant, String detail);
}
