package org.tarragonlug.soak;

/**
 * A fault of a schedule. Times are in milliseconds from the start of the run.
 *
 * @param kind kind of the fault
 * @param startMillis time at which it starts
 * @param endMillis time at which it ends
 * @param gateway number of the gateway that it concerns, if it concerns one
 * @param seed seed of its further choices
 */
record PlannedFault(SoakFaultKind kind, long startMillis, long endMillis, int gateway, long seed) {}
