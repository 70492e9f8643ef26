package org.tarragonlug.simulation;

import java.time.Duration;

/**
 * A kind of request in simulated traffic.
 *
 * @param name name of the kind
 * @param perSecond arrivals per second over all instances
 * @param rareModels whether the requests are for rare models; otherwise for the busy ones
 * @param target time to the first event within which an answer has its full value
 * @param gapTarget longest pause between events of an answer of full value
 * @param timeout longest time until the answer is complete
 * @param priority priority of the route; 0 is the most urgent
 * @param resumable whether a broken stream may go on at another server
 * @param maximumAttempts largest number of servers that may run one request
 * @param value value of an answer within its target
 * @param lateValue value of a later answer
 * @param promptTokens mean length of the part of the prompt that no other request shares
 * @param sharedTokens length of the part of the prompt that is shared
 * @param sharedParts number of different shared parts for each model
 * @param events mean number of events of an answer
 * @param adapterShare share of the requests that need an adapter, if their model has any
 */
record RequestProfile(
        String name,
        double perSecond,
        boolean rareModels,
        Duration target,
        Duration gapTarget,
        Duration timeout,
        int priority,
        boolean resumable,
        int maximumAttempts,
        double value,
        double lateValue,
        int promptTokens,
        int sharedTokens,
        int sharedParts,
        double events,
        double adapterShare) {}
