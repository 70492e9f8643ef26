package org.tarragonlug.decision.configuration;

/** A command that a {@link ConfigurationAcceptor} asks its caller to execute. */
public sealed interface AcceptorCommand {
    /**
     * Reads {@code configuration/accepted} first, then both tables. The caller answers with {@link
     * AcceptorEvent.ReadDone} or {@link AcceptorEvent.ReadFailed}.
     *
     * @param number number of the command, which the answer repeats
     */
    record Read(long number) implements AcceptorCommand {}

    /**
     * Writes {@code configuration/accepted}. The caller answers with {@link
     * AcceptorEvent.WriteEnded}.
     *
     * @param number number of the command, which the answer repeats
     * @param content the content to write
     * @param expectedObjectVersion the write takes effect only if the object has this version; 0 if
     *     it must not exist yet
     */
    record WriteAccepted(long number, AcceptedConfiguration content, long expectedObjectVersion)
            implements AcceptorCommand {}

    /**
     * Passes a stored configuration to the {@link ConfigurationSynchronizer} of this process.
     *
     * @param accepted the stored configuration
     */
    record DeliverAccepted(AcceptedConfiguration accepted) implements AcceptorCommand {}

    /**
     * Writes {@code status/configuration}. The write needs no answer: the next check repeats a lost
     * or failed one.
     *
     * @param status the status to write
     */
    record WriteStatus(ConfigurationStatus status) implements AcceptorCommand {}
}
