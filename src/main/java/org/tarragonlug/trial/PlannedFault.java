package org.tarragonlug.trial;

/**
 * A fault of a schedule.
 *
 * @param kind what fails
 * @param startMillis when it starts, from the beginning of the run
 * @param endMillis when it ends
 * @param seed seeds the choice of what it strikes
 */
record PlannedFault(FaultKind kind, long startMillis, long endMillis, long seed) {}
