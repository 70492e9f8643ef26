package org.tarragonlug.decision.ownership;

/** What the lease keeper wants to be done. */
public sealed interface LeaseCommand {
    /** Read the stored lease. */
    record Read() implements LeaseCommand {}

    /** Write the lease on condition of the revision in it; zero creates it. */
    record Write(LeaseRecord record) implements LeaseCommand {}

    /** This instance holds the lease now and may give orders from the keeper's start time on. */
    record Acquired(LeaseRecord record) implements LeaseCommand {}

    /** This instance does not hold the lease any more. */
    record Lost(String reason) implements LeaseCommand {}
}
