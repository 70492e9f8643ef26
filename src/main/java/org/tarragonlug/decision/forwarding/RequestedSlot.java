package org.tarragonlug.decision.forwarding;

/**
 * A slot that a server was asked to reserve, and that it has neither reserved nor refused yet.
 *
 * @param attempt number that the answer bears; no request is sent under it
 * @param server the server
 */
record RequestedSlot(ForwardAttempt attempt, FleetServer server) {}
