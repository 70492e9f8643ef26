package org.tarragonlug.decision.capacity;

import org.tarragonlug.decision.StateMachine;

/**
 * Decides which models and adapters are loaded on the servers of one group.
 *
 * <p>Every process has one planner per server group. Only the planner of the decider makes new
 * decisions. The other planners still close the orders of their own process and release its standby
 * slots. Two deciders at the same time are safe, because every decision is a conditional update of
 * the {@link CapacityRecord}.
 */
public interface CapacityPlanner extends StateMachine<CapacityEvent, CapacityCommand> {}
