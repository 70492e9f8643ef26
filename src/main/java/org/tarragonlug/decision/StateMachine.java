package org.tarragonlug.decision;

import java.time.Instant;
import java.util.List;

/**
 * A pure state machine: it takes an event and the present time and returns the commands to execute.
 *
 * <p>Implementations read no clock, start no thread and do no I/O, so that tests can drive them in
 * virtual time. They are not thread-safe: one event loop owns each of them.
 *
 * @param <E> type of the events
 * @param <C> type of the commands
 */
public interface StateMachine<E, C> {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the present time; never earlier than that of the previous call
     * @return the commands to execute, in order; possibly empty
     */
    List<C> handle(E event, Instant now);
}
