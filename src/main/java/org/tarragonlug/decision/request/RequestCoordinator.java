package org.tarragonlug.decision.request;

import org.tarragonlug.decision.StateMachine;

/**
 * Handles all requests of one entry instance: routing, admission, waiting, server selection,
 * attempts, retries, claims and quarantine. Every request that arrives gets exactly one end, before
 * its deadline, unless its caller has disconnected.
 */
public interface RequestCoordinator extends StateMachine<RequestEvent, RequestCommand> {}
