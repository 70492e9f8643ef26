/**
 * Decisions on requests that are forwarded byte for byte: routing, waiting, server selection,
 * retries and resumption of streams.
 */
package org.tarragonlug.decision.forwarding;
