package org.tarragonlug.decision.ownership;

/** A command that the lease manager outputs for its driver to execute. */
public sealed interface LeaseCommand {
    /** Reads the stored lease. */
    record Read() implements LeaseCommand {}

    /** Writes the lease if the stored revision equals the one in the record; zero creates it. */
    record Write(LeaseRecord record) implements LeaseCommand {}

    /**
     * This instance has acquired the lease. The instance may give orders only while {@link
     * LeaseManager#mayOrder} returns true.
     */
    record Acquired(LeaseRecord record) implements LeaseCommand {}

    /** This instance no longer holds the lease; the reason is written to the log. */
    record Lost(String reason) implements LeaseCommand {}
}
