package org.tarragonlug.decision.forwarding;

import org.tarragonlug.id.ServerIncarnation;

/**
 * A slot that a server was asked to reserve, and that it has neither reserved nor refused yet.
 *
 * @param attempt number that the answer bears; no request is sent under it
 * @param server the server
 * @param incarnation the run of the server's process that was asked
 */
record RequestedSlot(ForwardAttempt attempt, FleetServer server, ServerIncarnation incarnation) {}
