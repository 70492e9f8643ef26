package org.tarragonlug.decision.configuration;

import java.util.Map;
import java.util.Optional;
import org.tarragonlug.id.ServerGroup;

/**
 * An input of a {@link ConfigurationAcceptor}. Answers carry the number of the command that they
 * answer.
 */
public sealed interface AcceptorEvent {
    /**
     * This process became the configuration owner or ceased to be it, according to its own member
     * view.
     *
     * @param owner whether this process is the owner now
     */
    record OwnershipChanged(boolean owner) implements AcceptorEvent {}

    /** A watch reported a change of a table or of the accepted configuration. */
    record TablesChanged() implements AcceptorEvent {}

    /**
     * Backend servers reported the size of their memory.
     *
     * @param largestServerMemory memory of the largest known server of each group, in bytes
     */
    record ServerMemoryReported(Map<ServerGroup, Long> largestServerMemory)
            implements AcceptorEvent {
        public ServerMemoryReported {
            largestServerMemory = Map.copyOf(largestServerMemory);
        }
    }

    /**
     * The tables and the accepted configuration were read, as {@link AcceptorCommand.Read} asked.
     * The content may be stale.
     *
     * @param number number of the answered command
     * @param routes the table of routes
     * @param pools the table of pools
     * @param accepted the accepted configuration; empty if none is stored yet
     * @param acceptedObjectVersion object version of the accepted configuration; 0 if none is
     *     stored yet
     */
    record ReadDone(
            long number,
            TableContent<Route> routes,
            TableContent<Pool> pools,
            Optional<AcceptedConfiguration> accepted,
            long acceptedObjectVersion)
            implements AcceptorEvent {}

    /**
     * The read failed.
     *
     * @param number number of the answered command
     */
    record ReadFailed(long number) implements AcceptorEvent {}

    /**
     * The write of the accepted configuration ended.
     *
     * @param number number of the answered command
     * @param outcome the outcome, as far as it is known
     */
    record WriteEnded(long number, WriteOutcome outcome) implements AcceptorEvent {}

    /** Time passed; expected every 100 ms. */
    record Tick() implements AcceptorEvent {}
}
