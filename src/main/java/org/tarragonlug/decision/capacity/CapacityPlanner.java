package org.tarragonlug.decision.capacity;

import org.tarragonlug.decision.StateMachine;

/**
 * Decides which models and adapters are loaded on the servers of one group.
 *
 * <p>Every process has one planner per server group. Only the decider of the group makes new
 * decisions; the others still close their own orders and release their own standby slots. Two
 * deciders at the same moment are safe, because every decision is a conditional update of the
 * {@link CapacityRecord}.
 */
public interface CapacityPlanner extends StateMachine<CapacityEvent, CapacityCommand> {}
