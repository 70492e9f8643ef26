package org.tarragonlug.trial;

/**
 * A fault of a schedule. Times are in milliseconds from the start of the run.
 *
 * @param kind kind of the fault
 * @param startMillis time at which the fault starts
 * @param endMillis time at which the fault ends
 * @param seed seed of the choice of the affected server or instance
 */
record PlannedFault(FaultKind kind, long startMillis, long endMillis, long seed) {}
