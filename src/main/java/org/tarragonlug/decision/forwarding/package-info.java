/**
 * Decisions on requests that are forwarded byte for byte: routing, waiting, choice of a server,
 * retries and resumption.
 */
package org.tarragonlug.decision.forwarding;
