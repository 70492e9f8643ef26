package org.tarragonlug.decision.request;

import org.tarragonlug.decision.StateMachine;

/**
 * Decides on all requests of one entry instance: routing, admission, waiting, choice of server,
 * attempts, retries, claims and quarantine. Every request that arrives gets exactly one end before
 * its deadline unless its caller has gone.
 */
public interface RequestCoordinator extends StateMachine<RequestEvent, RequestCommand> {}
