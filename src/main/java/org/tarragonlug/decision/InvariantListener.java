package org.tarragonlug.decision;

/** Observer of violated invariants, asserted inside the running program. */
@FunctionalInterface
public interface InvariantListener {
    /**
     * Called when an invariant does not hold.
     *
     * @param invariant which one
     * @param detail what broke it, one line
     */
    void invariantViolated(Invariant invariant, String detail);
}
