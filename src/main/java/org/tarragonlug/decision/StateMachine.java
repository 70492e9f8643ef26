package org.tarragonlug.decision;

import java.time.Instant;
import java.util.List;

/**
 * A pure state machine: handles an event at a given time and returns the commands to execute.
 *
 * <p>Implementations read no clock, start no thread and do no I/O, so tests can run them in virtual
 * time. Implementations are not thread-safe: each instance is used by one event loop only.
 *
 * @param <E> type of the events
 * @param <C> type of the commands
 */
public interface StateMachine<E, C> {
    /**
     * Handles one event.
     *
     * @param event the event
     * @param now the current time; never earlier than in the previous call
     * @return the commands to execute, in this order; may be empty
     */
    List<C> handle(E event, Instant now);
}
