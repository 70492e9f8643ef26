package org.tarragonlug.decision.configuration;

/** What a configuration acceptor wants done. */
public sealed interface AcceptorCommand {
    /**
     * Read {@code configuration/accepted} first, then both tables, and answer with {@link
     * AcceptorEvent.ReadDone} or {@link AcceptorEvent.ReadFailed}.
     *
     * @param number to be returned in the answer
     */
    record Read(long number) implements AcceptorCommand {}

    /**
     * Write {@code configuration/accepted} and answer with {@link AcceptorEvent.WriteEnded}.
     *
     * @param number to be returned in the answer
     * @param content what to write
     * @param expectedObjectVersion object version it must have; 0 to create it
     */
    record WriteAccepted(long number, AcceptedConfiguration content, long expectedObjectVersion)
            implements AcceptorCommand {}

    /**
     * The configuration is stored: pass it to the own {@link ConfigurationSynchronizer}.
     *
     * @param accepted what is stored
     */
    record DeliverAccepted(AcceptedConfiguration accepted) implements AcceptorCommand {}

    /**
     * Write {@code status/configuration}; a lost or failed write is repeated by the next check.
     *
     * @param status what to write
     */
    record WriteStatus(ConfigurationStatus status) implements AcceptorCommand {}
}
