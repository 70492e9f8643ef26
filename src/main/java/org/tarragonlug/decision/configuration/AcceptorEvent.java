package org.tarragonlug.decision.configuration;

import java.util.Map;
import java.util.Optional;
import org.tarragonlug.id.ServerGroup;

/** What a configuration acceptor learns. Answers carry the number of the command they answer. */
public sealed interface AcceptorEvent {
    /**
     * The own process became, or ceased to be, the configuration owner in its view.
     *
     * @param owner whether it is the owner now
     */
    record OwnershipChanged(boolean owner) implements AcceptorEvent {}

    /** A watch reported a change of a table or of the accepted configuration. */
    record TablesChanged() implements AcceptorEvent {}

    /**
     * The memory of backend servers is known, from their reports.
     *
     * @param largestServerMemory memory of the largest known server of each group, bytes
     */
    record ServerMemoryReported(Map<ServerGroup, Long> largestServerMemory) implements AcceptorEvent {
        public ServerMemoryReported {
            largestServerMemory = Map.copyOf(largestServerMemory);
        }
    }

    /**
     * Answer to {@link AcceptorCommand.Read}. Reads may be stale.
     *
     * @param number of the command
     * @param routes the table of routes
     * @param pools the table of pools
     * @param accepted the accepted configuration; empty if there is none yet
     * @param acceptedObjectVersion object version of it; 0 if there is none yet
     */
    record ReadDone(
            long number,
            TableContent<Route> routes,
            TableContent<Pool> pools,
            Optional<AcceptedConfiguration> accepted,
            long acceptedObjectVersion)
            implements AcceptorEvent {}

    /** A read failed. */
    record ReadFailed(long number) implements AcceptorEvent {}

    /**
     * A write of the accepted configuration ended.
     *
     * @param number of the command
     * @param outcome how, as far as known
     */
    record WriteEnded(long number, WriteOutcome outcome) implements AcceptorEvent {}

    /** Time passed; expected every 100 ms. */
    record Tick() implements AcceptorEvent {}
}
